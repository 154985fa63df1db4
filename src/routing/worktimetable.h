#ifndef BRONZESHED_ROUTING_WORKTIMETABLE_H
#define BRONZESHED_ROUTING_WORKTIMETABLE_H

#include "base/strongid.h"
#include "routing/worktimeestimate.h"

#include <map>

namespace bronzeshed {

/** Mean work time of each class on an idle upstream at normal speed. */
using WorkTimes = std::map<ClassName, Duration>;

/**
 * Work times of all classes, learnt from the own calls and from those of other entries.
 *
 * Load pattern: a large fleet gives each entry few calls of a class, and after a restart of all
 * entries the callers return at once. An entry that knows only its own calls then admits calls that
 * are answered late and delay all others.
 */
class WorkTimeTable
{
public:
    /** @param time, slowdown see WorkTimeEstimate::record() */
    void record(const ClassName &name, Duration time, double slowdown);
    /** Sets the work times that other entries measured. */
    void setShared(WorkTimes times) { this->shared = std::move(times); }
    /** Expected time at an upstream with @p slowdown, or nothing if no entry knows the class. */
    std::optional<Duration> expected(const ClassName &name, double slowdown) const;
    /** The classes for which this entry has enough calls of its own. */
    WorkTimes own() const;

private:
    std::map<ClassName, WorkTimeEstimate> estimates;
    WorkTimes shared;
};

} // namespace bronzeshed

#endif
