#ifndef BRONZESHED_HTTP_LAZYTIMER_H
#define BRONZESHED_HTTP_LAZYTIMER_H

#include "base/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace bronzeshed {

/**
 * Timer for a deadline that changes with each step of a connection. Moving the deadline to a later
 * time needs no timer operation: when the running timer fires early, it is started again with the
 * current deadline. For adapter sources only.
 */
class LazyTimer
{
public:
    /** @param expired called on the executor's thread when the deadline has passed */
    template<typename Executor>
    LazyTimer(const Executor &executor, std::function<void()> expired)
        : state(std::make_shared<State>(executor, std::move(expired)))
    {
    }
    ~LazyTimer()
    {
        this->state->expired = nullptr;
        this->state->timer.cancel();
    }
    LazyTimer(const LazyTimer &) = delete;
    LazyTimer &operator=(const LazyTimer &) = delete;

    /** Sets the deadline; TimePoint::max() disables the timer. */
    void setDeadline(TimePoint deadline)
    {
        this->state->deadline = deadline;
        if (deadline < this->state->nextExpiry) {
            start(this->state);
        }
    }

private:
    struct State
    {
        template<typename Executor>
        State(const Executor &executor, std::function<void()> expired)
            : timer(executor)
            , expired(std::move(expired))
        {
        }

        boost::asio::steady_timer timer;
        std::function<void()> expired; ///< empty after the LazyTimer is destroyed
        TimePoint deadline = TimePoint::max();
        TimePoint nextExpiry = TimePoint::max(); ///< when the timer fires next
    };

    static void start(const std::shared_ptr<State> &state)
    {
        state->nextExpiry = state->deadline;
        state->timer.expires_at(state->nextExpiry);
        state->timer.async_wait([state](const boost::system::error_code &error) {
            if (!error) {
                fire(state);
            }
        });
    }

    static void fire(const std::shared_ptr<State> &state)
    {
        state->nextExpiry = TimePoint::max();
        if (state->deadline == TimePoint::max() || !state->expired) {
            return;
        }
        if (std::chrono::steady_clock::now() < state->deadline) {
            start(state);
            return;
        }
        state->deadline = TimePoint::max();
        state->expired();
    }

    std::shared_ptr<State> state;
};

} // namespace bronzeshed

#endif
