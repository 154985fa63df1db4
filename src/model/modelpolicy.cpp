#include "model/modelpolicy.h"

#include "routing/freeslotpolicy.h"
#include "routing/leastoutstandingpolicy.h"
#include "routing/queueaheadpolicy.h"
#include "routing/randompolicy.h"
#include "routing/roundrobinpolicy.h"
#include "routing/twochoicespolicy.h"

namespace bronzeshed {

namespace {

template<typename Policy>
std::unique_ptr<SelectionPolicy> makePolicy()
{
    return std::make_unique<Policy>();
}

} // namespace

const std::array<ModelPolicy, 8> &modelPolicies()
{
    static const std::array<ModelPolicy, 8> policies{{
        {"ideal-queue", true, nullptr},
        {"random", false, makePolicy<RandomPolicy>},
        {"round-robin", false, makePolicy<RoundRobinPolicy>},
        {"least-outstanding", false, makePolicy<LeastOutstandingPolicy>},
        {"two-choices", false, makePolicy<TwoChoicesPolicy>},
        {"free-slot-all", false, makePolicy<FreeSlotPolicy>},
        {"free-slot-owner", true, makePolicy<FreeSlotPolicy>},
        {"queue-ahead-owner", true, makePolicy<QueueAheadPolicy>},
    }};
    return policies;
}

} // namespace bronzeshed
