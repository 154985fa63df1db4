#ifndef BRONZESHED_ROUTING_CALLBUDGET_H
#define BRONZESHED_ROUTING_CALLBUDGET_H

#include <algorithm>

namespace bronzeshed {

/** Budget of permits for extra attempts. Each call adds a fraction of a permit. */
class CallBudget
{
public:
    /**
     * @param share permits added per call
     * @param initial permits before the first call
     * @param maximum largest number of permits held, which limits a burst of extra attempts
     */
    CallBudget(double share, double initial, double maximum)
        : share(share)
        , permits(std::min(initial, maximum))
        , maximum(maximum)
    {
    }

    /** Adds the permits for one call. */
    void deposit() { this->permits = std::min(this->permits + this->share, this->maximum); }

    /** Changes the maximum and discards permits above it. */
    void setMaximum(double newMaximum)
    {
        this->maximum = newMaximum;
        this->permits = std::min(this->permits, newMaximum);
    }

    /** Spends one permit. @return false if less than one permit is available */
    bool trySpend()
    {
        if (this->permits + RoundingError < 1) {
            return false;
        }
        this->permits -= 1;
        return true;
    }

private:
    /** Tolerance: ten additions of 0.1 sum up to slightly less than 1 in floating point. */
    static constexpr double RoundingError = 1e-9;

    double share;
    double permits;
    double maximum;
};

} // namespace bronzeshed

#endif
