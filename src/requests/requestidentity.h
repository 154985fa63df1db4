#ifndef BRONZESHED_REQUESTS_REQUESTIDENTITY_H
#define BRONZESHED_REQUESTS_REQUESTIDENTITY_H

#include "base/strongid.h"
#include "base/strongnumber.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace bronzeshed {

/** The parts of `<incarnation>-<period>-<nonce>`. */
struct RequestIdentity
{
    Incarnation incarnation; ///< entry process that alone may run the request
    std::uint64_t period = 0; ///< of that process, when its ticket was given out
    std::string nonce; ///< chosen by the caller; lowercase

    /** The id as text. Ids that differ only in the case of their digits have the same text. */
    RequestId toId() const;

    bool operator==(const RequestIdentity &) const = default;
};

/**
 * Parses an id: 16 hex digits, a decimal number without leading zeros, 16 to 64 hex digits.
 * @return nothing if the text has any other form
 */
std::optional<RequestIdentity> parseRequestIdentity(const RequestId &id);

/** Text of an incarnation: 16 hex digits. */
std::string incarnationDigits(Incarnation incarnation);

/**
 * Digest of the parts of a request that a repeat must have in common with it. Equal on all entries,
 * whatever their version. It detects a reused id; it is not a defence against forged requests.
 */
std::uint64_t digestOf(std::initializer_list<std::string_view> parts);

} // namespace bronzeshed

#endif
