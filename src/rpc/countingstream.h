#ifndef BRONZESHED_RPC_COUNTINGSTREAM_H
#define BRONZESHED_RPC_COUNTINGSTREAM_H

#include "rpc/controlcounters.h"

#include <kj/async-io.h>

namespace bronzeshed {

/** Enables TCP keep-alive, which detects an unreachable peer on an idle connection within 30 s. */
void enableKeepAlive(kj::AsyncIoStream &stream);

/** Wraps a stream and counts the bytes that are read and written. */
class CountingStream final : public kj::AsyncIoStream
{
public:
    CountingStream(kj::Own<kj::AsyncIoStream> inner, ControlCounters &counters);

    /** Stops counting and subtracts the bytes that this stream has added to the counters. */
    void stopCounting();

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

private:
    void countSent(size_t bytes);

    kj::Own<kj::AsyncIoStream> inner;
    ControlCounters &counters;
    bool counting = true;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

} // namespace bronzeshed

#endif
