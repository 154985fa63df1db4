#ifndef BRONZESHED_HTTP_LAZYTIMER_H
#define BRONZESHED_HTTP_LAZYTIMER_H

#include "base/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace bronzeshed {

/**
 * Limit that moves with each step of a connection; for adapter sources only. Moving it to a later
 * time costs no timer operation: the running timer looks at the limit when it fires, and waits on.
 */
class LazyTimer
{
public:
    /** @param expired called on the executor's thread when the limit has passed */
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

    /** TimePoint::max() means no limit. */
    void setLimit(TimePoint limit)
    {
        this->state->limit = limit;
        if (limit < this->state->due) {
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
        std::function<void()> expired; ///< empty once the connection is gone
        TimePoint limit = TimePoint::max();
        TimePoint due = TimePoint::max(); ///< when the timer fires next
    };

    static void start(const std::shared_ptr<State> &state)
    {
        state->due = state->limit;
        state->timer.expires_at(state->due);
        state->timer.async_wait([state](const boost::system::error_code &error) {
            if (!error) {
                fire(state);
            }
        });
    }

    static void fire(const std::shared_ptr<State> &state)
    {
        state->due = TimePoint::max();
        if (state->limit == TimePoint::max() || !state->expired) {
            return;
        }
        if (std::chrono::steady_clock::now() < state->limit) {
            start(state);
            return;
        }
        state->limit = TimePoint::max();
        state->expired();
    }

    std::shared_ptr<State> state;
};

} // namespace bronzeshed

#endif
