#ifndef BRONZESHED_ROUTING_CALLBUDGET_H
#define BRONZESHED_ROUTING_CALLBUDGET_H

#include <algorithm>

namespace bronzeshed {

/** Permits for extra attempts, earned as a share of the calls. */
class CallBudget
{
public:
    /**
     * @param share permits earned per call
     * @param initial permits before the first call
     */
    CallBudget(double share, double initial)
        : share(share)
        , permits(initial)
    {
    }

    /** Counts a call. */
    void earn() { this->permits = std::min(this->permits + this->share, MaxPermits); }

    /** Spends a permit if there is one. */
    bool trySpend()
    {
        if (this->permits + RoundingError < 1) {
            return false;
        }
        this->permits -= 1;
        return true;
    }

private:
    /** Bounds a burst of extra attempts after a long time without any. */
    static constexpr double MaxPermits = 10;
    /** Ten tenths add up to slightly less than one. */
    static constexpr double RoundingError = 1e-9;

    double share;
    double permits;
};

} // namespace bronzeshed

#endif
