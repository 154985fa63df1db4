#ifndef BRONZESHED_STANDINS_LAGGEDVALUE_H
#define BRONZESHED_STANDINS_LAGGEDVALUE_H

#include "base/clock.h"

#include <deque>
#include <utility>

namespace bronzeshed {

/** A value whose changes become visible only after a lag. */
template<typename Value>
class LaggedValue
{
public:
    explicit LaggedValue(Duration lag = Duration::zero())
        : lag(lag)
    {
    }

    /** Sets the lag of later changes. */
    void setLag(Duration newLag) { this->lag = newLag; }

    /** Changes the value. Earlier changes that would become visible later are dropped. */
    void set(TimePoint now, Value value)
    {
        this->dropReplaced(now);
        const TimePoint visible = now + this->lag;
        while (!this->changes.empty() && this->changes.back().first > visible) {
            this->changes.pop_back();
        }
        this->changes.emplace_back(visible, std::move(value));
    }

    /** The value that is visible at @p now; a default value if there is none yet. */
    Value get(TimePoint now)
    {
        this->dropReplaced(now);
        const bool visible = !this->changes.empty() && this->changes.front().first <= now;
        return visible ? this->changes.front().second : Value{};
    }

private:
    /** Drops the changes that a later visible one replaces. */
    void dropReplaced(TimePoint now)
    {
        while (this->changes.size() > 1 && this->changes[1].first <= now) {
            this->changes.pop_front();
        }
    }

    Duration lag;
    std::deque<std::pair<TimePoint, Value>> changes; ///< with the time each becomes visible
};

} // namespace bronzeshed

#endif
