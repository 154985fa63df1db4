#ifndef BRONZESHED_PLATFORM_STORECODEC_H
#define BRONZESHED_PLATFORM_STORECODEC_H

#include "http/httpmessage.h"
#include "platform/metadatastore.h"

#include <string>
#include <string_view>

namespace bronzeshed {

/** One page of a range read. */
struct StorePage
{
    StoreRange range;
    bool hasMore = false;
};

/** Decodes a page of items. @throws ProtocolError if @p body is malformed */
StorePage decodePage(std::string_view body);
/** Encodes all items as one page. */
std::string encodePage(const StoreRange &range);

/** Decodes a list of events. @throws ProtocolError if @p body is malformed */
StoreChanges decodeChanges(std::string_view body);

std::string encodeChanges(const StoreChanges &changes);

/** States in the answer to a call when the replica was last known to be complete. */
void addConfirmation(HttpResponse &response, std::chrono::milliseconds afterStartOfCall);
/** @throws ProtocolError if the statement is malformed */
ReplicaConfirmation readConfirmation(const HttpResponse &response);

/** Decodes a granted lease. @throws ProtocolError if @p body contains no lease id */
LeaseId decodeLease(std::string_view body);

/** Conditional change of several keys: all of it is done or nothing. */
struct StoreTransaction
{
    std::vector<StoreItem> expected; ///< keys and the revisions that they must have
    std::vector<StoreItem> puts; ///< keys, values and leases
    std::vector<StoreItem> deletes; ///< keys
};

std::string encodeTransaction(const StoreTransaction &transaction);
/** Decodes the response to a transaction. @throws ProtocolError if @p body has no revision */
StoreRevision decodeRevision(std::string_view body);
std::string encodeLeaseRequest(std::chrono::milliseconds timeToLive);

} // namespace bronzeshed

#endif
