#ifndef BRONZESHED_HTTP_DEADPEERDETECTION_H
#define BRONZESHED_HTTP_DEADPEERDETECTION_H

namespace bronzeshed {

/**
 * Makes a TCP connection fail within about 3 s after its peer or the network path stops responding,
 * even if no data is being sent. Otherwise a pending read would wait until its own timeout.
 */
void enableDeadPeerDetection(int socket);

} // namespace bronzeshed

#endif
