#ifndef BRONZESHED_BASE_SCOPEGUARD_H
#define BRONZESHED_BASE_SCOPEGUARD_H

#include <utility>

namespace bronzeshed {

/** Runs a clean-up action at the end of the scope unless dismiss() was called. */
template<typename Action>
class ScopeGuard
{
public:
    explicit ScopeGuard(Action action)
        : action(std::move(action))
    {
    }
    ~ScopeGuard()
    {
        if (this->armed) {
            this->action();
        }
    }
    ScopeGuard(const ScopeGuard &) = delete;
    ScopeGuard &operator=(const ScopeGuard &) = delete;

    void dismiss() { this->armed = false; }

private:
    Action action;
    bool armed = true;
};

} // namespace bronzeshed

#endif
