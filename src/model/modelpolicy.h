#ifndef BRONZESHED_MODEL_MODELPOLICY_H
#define BRONZESHED_MODEL_MODELPOLICY_H

#include "routing/selectionpolicy.h"

#include <array>
#include <memory>
#include <string_view>

namespace bronzeshed {

/** A way of routing that the model compares. */
struct ModelPolicy
{
    std::string_view name;
    bool oneOwner = false; ///< one entry for all calls instead of a random one per call
    /** Makes the policy of one entry; nullptr stands for the ideal queue. */
    std::unique_ptr<SelectionPolicy> (*make)() = nullptr;
};

/** All policies; the ideal queue is the first and the chosen policy the last. */
const std::array<ModelPolicy, 8> &modelPolicies();

} // namespace bronzeshed

#endif
