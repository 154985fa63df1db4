#ifndef BRONZESHED_ROUTING_LOADREPORT_H
#define BRONZESHED_ROUTING_LOADREPORT_H

namespace bronzeshed {

/** What an upstream says of its load. */
struct LoadReport
{
    unsigned running = 0; ///< requests that occupy a slot
    unsigned waiting = 0; ///< requests in its queue
    unsigned slots = 0; ///< 0 if not stated
    unsigned workTimePercent = 100; ///< how long work takes there now; 100 is the usual time

    bool operator==(const LoadReport &) const = default;
};

} // namespace bronzeshed

#endif
