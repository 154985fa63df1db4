#ifndef BRONZESHED_GATEWAY_REGISTRATIONQUEUE_H
#define BRONZESHED_GATEWAY_REGISTRATIONQUEUE_H

#include "base/clock.h"
#include "base/strongid.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bronzeshed {

/**
 * Registrations that this entry writes to the store for other entries.
 *
 * Load pattern: hundreds of entries start within a second, or their leases expire at the same time.
 * Each call to the store is billed whatever it writes, so requests that arrive within a short time
 * are written together.
 */
class RegistrationQueue
{
public:
    using Registration = std::pair<InstanceId, std::string>; ///< id and record

    /** Time for which requests are collected before they are written. */
    static constexpr std::chrono::milliseconds CollectTime{300};
    /** Time in which a written registration reaches the entry that asked for it. */
    static constexpr std::chrono::milliseconds VisibilityTime{2000};

    /** Queues a registration unless the same one was written within the visibility time. */
    void request(const InstanceId &id, std::string record, TimePoint now);
    /** When the pending registrations are to be written, or nothing if there are none. */
    std::optional<TimePoint> dueAt() const;
    /** Removes and returns at most @p most registrations, which count as written from now on. */
    std::vector<Registration> take(std::size_t most, TimePoint now);
    /** Permits requests for registrations whose write failed. */
    void writeFailed(const std::vector<Registration> &registrations);

private:
    struct Written
    {
        std::string record;
        TimePoint at;
    };

    std::map<InstanceId, std::string> pending;
    TimePoint oldestRequest; ///< of the pending ones
    std::map<InstanceId, Written> written;
};

} // namespace bronzeshed

#endif
