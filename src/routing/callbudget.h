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
     * @param maximum bounds a burst of extra attempts after a long time without any
     */
    CallBudget(double share, double initial, double maximum)
        : share(share)
        , permits(std::min(initial, maximum))
        , maximum(maximum)
    {
    }

    /** Counts a call. */
    void earn() { this->permits = std::min(this->permits + this->share, this->maximum); }

    /** Changes the bound; permits above it are lost. */
    void setMaximum(double newMaximum)
    {
        this->maximum = newMaximum;
        this->permits = std::min(this->permits, newMaximum);
    }

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
    /** Ten tenths add up to slightly less than one. */
    static constexpr double RoundingError = 1e-9;

    double share;
    double permits;
    double maximum;
};

} // namespace bronzeshed

#endif
