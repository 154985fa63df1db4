#include "gateway/relayduties.h"

#include "base/logline.h"
#include "base/scopeguard.h"
#include "gateway/storehealth.h"
#include "gateway/storereplica.h"

#include <algorithm>

namespace bronzeshed {

namespace {

std::vector<StoreItem> itemsOf(const std::vector<RegistrationQueue::Registration> &registrations,
                               LeaseId lease)
{
    std::vector<StoreItem> items;
    for (const auto &[id, record] : registrations) {
        StoreItem item;
        item.key = std::string(MemberPrefix) + id.value();
        item.value = record;
        item.lease = lease;
        items.push_back(std::move(item));
    }
    return items;
}

} // namespace

RelayDuties::RelayDuties(const Endpoint &store, ZoneRegistrations &zone)
    : store(store, StoreTimeout)
    , zone(zone)
{
}

void RelayDuties::contactFrom(const InstanceId &id)
{
    const std::lock_guard lock(this->mutex);
    this->monitor.contactFrom(id, std::chrono::steady_clock::now());
}

void RelayDuties::requestRegistration(const InstanceId &id, const std::string &record)
{
    const std::lock_guard lock(this->mutex);
    this->queue.request(id, record, std::chrono::steady_clock::now());
}

std::optional<TimePoint> RelayDuties::registrationsDueAt()
{
    const std::lock_guard lock(this->mutex);
    return this->queue.dueAt();
}

void RelayDuties::perform(const StoreItem &own)
{
    const std::map<InstanceId, StoreItem> others = this->zone.otherRegistrations();
    this->removeSilentMembers(others, own);
    if (this->zone.isRelaying()) {
        this->releaseSilentMembers(others, own);
        this->renewLeases(others, own.lease);
    }
    this->writeRegistrations(own);
}

void RelayDuties::releaseSilentMembers(const std::map<InstanceId, StoreItem> &others,
                                       const StoreItem &own)
{
    std::vector<InstanceId> silent;
    {
        const std::lock_guard lock(this->mutex);
        silent = this->monitor.longSilentMembers();
    }
    std::vector<StoreItem> released;
    for (const auto &[id, item] : others) {
        const bool isSilent = std::find(silent.begin(), silent.end(), id) != silent.end();
        const bool isReleased
            = item.lease == this->unrenewedLease && this->unrenewedLease.value() != 0;
        if (isSilent && !isReleased) {
            released.push_back(item);
        } else if (!isSilent && isReleased) {
            this->requestRegistration(id, item.value);
        }
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (released.empty() || now - this->releasedAt < RegistrationQueue::VisibilityTime) {
        return;
    }
    this->releasedAt = now;
    this->unrenewedLease = this->store.grantLease(LeaseTime);
    for (StoreItem &item : released) {
        item.lease = this->unrenewedLease;
    }
    for (std::size_t i = 0; i < released.size(); i += MetadataStore::MaxWrittenItems) {
        const std::size_t end = std::min(released.size(), i + MetadataStore::MaxWrittenItems);
        const bool written
            = this->store.putAll({released.begin() + static_cast<std::ptrdiff_t>(i),
                                  released.begin() + static_cast<std::ptrdiff_t>(end)},
                                 own);
        LogLine("silent_entries_released", LogLevel::Warning)
            .add("entries", end - i)
            .add("lease", this->unrenewedLease.value())
            .add("written", written);
    }
}

void RelayDuties::renewLeases(const std::map<InstanceId, StoreItem> &others, LeaseId ownLease)
{
    std::set<LeaseId> inUse;
    for (const auto &[id, item] : others) {
        // The lease of the own registration is renewed more often, to detect a loss of the store.
        if (item.lease.value() != 0 && item.lease != ownLease
            && item.lease != this->unrenewedLease) {
            inUse.insert(item.lease);
        }
    }
    for (const LeaseId lease : this->leases.takeDue(inUse, std::chrono::steady_clock::now())) {
        if (this->store.renewLease(lease)) {
            continue;
        }
        // The registrations are removed in the store with their lease. Those of entries that have
        // ended are written too, and removed for their silence later.
        LogLine("zone_lease_lost", LogLevel::Warning).add("lease", lease.value());
        for (const auto &[id, item] : others) {
            if (item.lease == lease) {
                this->requestRegistration(id, item.value);
            }
        }
    }
}

void RelayDuties::removeSilentMembers(const std::map<InstanceId, StoreItem> &others,
                                      const StoreItem &own)
{
    const bool relaying = this->zone.isRelaying();
    std::vector<InstanceId> ids;
    ids.reserve(others.size());
    for (const auto &[id, item] : others) {
        ids.push_back(id);
    }
    std::vector<InstanceId> silent;
    {
        const std::lock_guard lock(this->mutex);
        silent = this->monitor.silentMembers(ids, relaying, std::chrono::steady_clock::now());
    }
    for (std::size_t i = 0; i < silent.size(); i += MetadataStore::MaxErasedItems) {
        const std::size_t end = std::min(silent.size(), i + MetadataStore::MaxErasedItems);
        std::vector<StoreItem> items;
        for (std::size_t entry = i; entry < end; ++entry) {
            items.push_back(others.at(silent[entry]));
        }
        const bool removed = this->store.erase(items, own);
        for (const StoreItem &item : items) {
            LogLine("registration_removed", LogLevel::Warning)
                .add("key", item.key)
                .add("revision", item.revision.value())
                .add("removed", removed);
        }
    }
}

void RelayDuties::writeRegistrations(const StoreItem &own)
{
    const auto take = [this]() -> std::vector<RegistrationQueue::Registration> {
        const TimePoint now = std::chrono::steady_clock::now();
        const std::lock_guard lock(this->mutex);
        const std::optional<TimePoint> due = this->queue.dueAt();
        if (!due || *due > now) {
            return {};
        }
        return this->queue.take(MetadataStore::MaxWrittenItems, now);
    };
    for (auto batch = take(); !batch.empty(); batch = take()) {
        bool written = false;
        const ScopeGuard allowRepeat([&] {
            if (!written) {
                const std::lock_guard lock(this->mutex);
                this->queue.writeFailed(batch);
            }
        });
        written = this->store.putAll(itemsOf(batch, own.lease), own);
        LogLine("registrations_written")
            .add("entries", batch.size())
            .add("lease", own.lease.value())
            .add("written", written);
    }
}

} // namespace bronzeshed
