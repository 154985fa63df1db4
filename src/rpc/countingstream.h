#ifndef BRONZESHED_RPC_COUNTINGSTREAM_H
#define BRONZESHED_RPC_COUNTINGSTREAM_H

#include "rpc/controlcounters.h"

#include <kj/async-io.h>

namespace bronzeshed {

/** Makes the kernel find out about a vanished other side of an idle connection within 30 s. */
void enableKeepAlive(kj::AsyncIoStream &stream);

/** Passes a stream through and counts its bytes. */
class CountingStream final : public kj::AsyncIoStream
{
public:
    CountingStream(kj::Own<kj::AsyncIoStream> inner, ControlCounters &counters);

    /** The traffic of this stream is no longer counted, and what was counted is taken back. */
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
