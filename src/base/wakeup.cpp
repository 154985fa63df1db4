#include "base/wakeup.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <ctime>
#include <poll.h>
#include <sys/eventfd.h>
#include <system_error>

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
    if (this->pending.exchange(true)) {
        return;
    }
    const std::uint64_t one = 1;
    // The write cannot fail: the counter holds at most one pending notification.
    [[maybe_unused]] const auto written = ::write(this->event.get(), &one, sizeof one);
}

void Wakeup::wait(Duration timeout)
{
    const auto bounded = std::max(timeout, Duration::zero());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(bounded);
    timespec limit{};
    limit.tv_sec = seconds.count();
    limit.tv_nsec = (bounded - seconds).count();
    pollfd entry{this->event.get(), POLLIN, 0};
    if (::ppoll(&entry, 1, &limit, nullptr) > 0) {
        this->clear();
    }
}

void Wakeup::clear()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto size = ::read(this->event.get(), &count, sizeof count);
    // Cleared after the read, with acquire order: a notify() between the two finds the flag set,
    // and the consumer still sees its event because it drains the rings after clear().
    this->pending.exchange(false);
}

} // namespace bronzeshed
