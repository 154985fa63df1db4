#include "rpc/wakeupstream.h"

namespace bronzeshed {

WakeupStream::WakeupStream(kj::AsyncIoContext &io, Wakeup &wakeup)
    : wakeup(wakeup)
    , stream(io.lowLevelProvider->wrapInputFd(wakeup.descriptor(),
                                              kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK))
{
}

kj::Promise<void> WakeupStream::wait()
{
    return this->stream->read(&this->count, sizeof this->count).then([this] {
        this->wakeup.clear();
    });
}

} // namespace bronzeshed
