#ifndef BRONZESHED_PLATFORM_STORECODEC_H
#define BRONZESHED_PLATFORM_STORECODEC_H

#include "platform/metadatastore.h"

#include <string>
#include <string_view>

namespace bronzeshed {

/** One page of a range. */
struct StorePage
{
    StoreRange range;
    bool hasMore = false;
};

/** @throws ProtocolError if @p body is not a page of items */
StorePage decodePage(std::string_view body);
std::string encodePage(const StoreRange &range);

/** @throws ProtocolError if @p body is not a list of events */
StoreChanges decodeChanges(std::string_view body);

std::string encodeChanges(const StoreChanges &changes);

/** @throws ProtocolError if @p body names no lease */
LeaseId decodeLease(std::string_view body);

/** A transaction that writes one key under a lease, without a condition. */
std::string encodePut(const std::string &key, const std::string &value, LeaseId lease);
std::string encodeLeaseRequest(std::chrono::milliseconds timeToLive);

} // namespace bronzeshed

#endif
