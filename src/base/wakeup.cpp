#include "base/wakeup.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <ctime>
#include <linux/futex.h>
#include <sys/eventfd.h>
#include <sys/syscall.h>
#include <system_error>
#include <unistd.h>

namespace bronzeshed {

Wakeup::Wakeup()
    : event(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (this->event.get() < 0) {
        throw std::system_error(errno, std::generic_category(),
                                "cannot create an eventfd; raise the open file limit");
    }
}

void Wakeup::notify()
{
    switch (this->state.exchange(Notified)) {
    case Watched: {
        const std::uint64_t one = 1;
        // The write cannot fail: the counter holds at most one pending notification.
        [[maybe_unused]] const auto written = ::write(this->event.get(), &one, sizeof one);
        break;
    }
    case Sleeping:
        ::syscall(SYS_futex, &this->state, FUTEX_WAKE_PRIVATE, 1, nullptr, nullptr, 0);
        break;
    default:
        break;
    }
}

void Wakeup::wait(Duration timeout)
{
    if (this->state.exchange(Sleeping) != Notified) {
        const auto bounded = std::max(timeout, Duration::zero());
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(bounded);
        timespec limit{};
        limit.tv_sec = seconds.count();
        limit.tv_nsec = (bounded - seconds).count();
        // The call returns at once if a notification arrived after the exchange.
        ::syscall(SYS_futex, &this->state, FUTEX_WAIT_PRIVATE, Sleeping, &limit, nullptr, 0);
    }
    // The exchange needs acquire order: it may discard a notification, and the consumer, which
    // drains the rings after wait(), must see every event pushed before that notification.
    this->state.exchange(Awake);
}

void Wakeup::clear()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto size = ::read(this->event.get(), &count, sizeof count);
    // The exchange follows the read and needs acquire order: a notify() between the two finds the
    // state Notified and writes nothing, and the consumer must still see that producer's event when
    // it drains the rings after clear().
    this->state.exchange(Watched);
}

} // namespace bronzeshed
