#ifndef BRONZESHED_ROUTING_LOADREPORT_H
#define BRONZESHED_ROUTING_LOADREPORT_H

namespace bronzeshed {

/** Load of an upstream as reported by the upstream itself. */
struct LoadReport
{
    unsigned running = 0; ///< requests that occupy a slot
    unsigned waiting = 0; ///< requests in its queue
    unsigned slots = 0; ///< 0 if not reported
    unsigned workTimePercent = 100; ///< current execution time; 100 is the normal time

    bool operator==(const LoadReport &) const = default;
};

} // namespace bronzeshed

#endif
