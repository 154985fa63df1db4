#ifndef BRONZESHED_HTTP_SILENTPEER_H
#define BRONZESHED_HTTP_SILENTPEER_H

namespace bronzeshed {

/**
 * Makes a TCP connection fail within about 3 s after its peer or the path to it went silent, also
 * while nothing is sent. Without it a waiting read would last until its own timeout.
 */
void detectSilentPeer(int socket);

} // namespace bronzeshed

#endif
