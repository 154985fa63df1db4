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

/** Parsed form of a request id, `<incarnation>-<period>-<nonce>`. */
struct RequestIdentity
{
    Incarnation incarnation; ///< identifies the only entry process that may run the request
    std::uint64_t period = 0; ///< period of that process in which it issued the ticket
    std::string nonce; ///< hex digits chosen by the caller, converted to lower case

    /** Formats the id. Ids that differ only in the case of their hex digits yield the same text. */
    RequestId toId() const;

    bool operator==(const RequestIdentity &) const = default;
};

/**
 * Parses an id: 16 hex digits, a decimal number without leading zeros and 16 to 64 hex digits,
 * separated by hyphens.
 * @return std::nullopt if the text has any other form
 */
std::optional<RequestIdentity> parseRequestIdentity(const RequestId &id);

/** Formats an incarnation as 16 hex digits. */
std::string formatIncarnation(Incarnation incarnation);

/**
 * Computes a digest of the parts of a request that must be identical in every repeat. All versions
 * of the entry compute the same digest. It detects a request id that is reused for another request;
 * it is not cryptographic and does not protect against forged requests.
 */
std::uint64_t digestOf(std::initializer_list<std::string_view> parts);

} // namespace bronzeshed

#endif
