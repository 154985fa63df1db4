#ifndef BRONZESHED_GATEWAY_REGISTRAR_H
#define BRONZESHED_GATEWAY_REGISTRAR_H

#include "gateway/registry.h"
#include "gateway/storehealth.h"
#include "platform/httpmetadatastore.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace bronzeshed {

/**
 * Keeps this entry registered in the store under a lease, on a thread of its own. Its renewals
 * also tell whether the store is reachable.
 */
class Registrar
{
public:
    Registrar(const Endpoint &store, Member self, StoreHealth &health);
    ~Registrar();
    Registrar(const Registrar &) = delete;
    Registrar &operator=(const Registrar &) = delete;

    /** The registration is missing in the store; it is written again. Thread-safe. */
    void registrationMissing();
    /**
     * Whether other entries follow the store through this one. It then renews more often, so that
     * it notices sooner that it lost the store. Thread-safe.
     */
    void setRelaying(bool relaying);
    /** Ends the registration and the thread. */
    void leave();

private:
    void run();
    void step();
    void registerAnew();

    Member self;
    StoreHealth &health;
    HttpMetadataStore store;
    std::mutex mutex; ///< guards stopping, relaying and renewAtOnce
    std::condition_variable changed;
    bool stopping = false;
    std::atomic<bool> missing{true};
    bool relaying = false;
    bool renewAtOnce = false;
    TimePoint registeredAt;
    LeaseId lease; ///< 0 if there is none
    std::thread thread;
};

} // namespace bronzeshed

#endif
