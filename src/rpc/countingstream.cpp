#include "rpc/countingstream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bronzeshed {

namespace {

constexpr int KeepAliveIdleSeconds = 15;
constexpr int KeepAliveIntervalSeconds = 5;
constexpr int KeepAliveProbes = 3;

void setOption(kj::AsyncIoStream &stream, int level, int option, int value)
{
    stream.setsockopt(level, option, &value, sizeof value);
}

} // namespace

void enableKeepAlive(kj::AsyncIoStream &stream)
{
    setOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

CountingStream::CountingStream(kj::Own<kj::AsyncIoStream> inner, ControlCounters &counters)
    : inner(kj::mv(inner))
    , counters(counters)
{
}

void CountingStream::stopCounting()
{
    if (this->counting) {
        this->counting = false;
        this->counters.addSent(0 - this->sent);
        this->counters.addReceived(0 - this->received);
    }
}

kj::Promise<size_t> CountingStream::tryRead(void *buffer, size_t minBytes, size_t maxBytes)
{
    return this->inner->tryRead(buffer, minBytes, maxBytes).then([this](size_t bytes) {
        if (this->counting) {
            this->received += bytes;
            this->counters.addReceived(bytes);
        }
        return bytes;
    });
}

void CountingStream::countSent(size_t bytes)
{
    if (this->counting) {
        this->sent += bytes;
        this->counters.addSent(bytes);
    }
}

kj::Promise<void> CountingStream::write(const void *buffer, size_t size)
{
    this->countSent(size);
    return this->inner->write(buffer, size);
}

kj::Promise<void> CountingStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    for (const auto &piece : pieces) {
        this->countSent(piece.size());
    }
    return this->inner->write(pieces);
}

kj::Promise<void> CountingStream::whenWriteDisconnected()
{
    return this->inner->whenWriteDisconnected();
}

void CountingStream::shutdownWrite()
{
    this->inner->shutdownWrite();
}

void CountingStream::abortRead()
{
    this->inner->abortRead();
}

} // namespace bronzeshed
