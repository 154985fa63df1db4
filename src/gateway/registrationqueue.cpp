#include "gateway/registrationqueue.h"

namespace bronzeshed {

void RegistrationQueue::request(const InstanceId &id, std::string record, TimePoint now)
{
    const auto known = this->written.find(id);
    if (known != this->written.end() && known->second.record == record
        && now - known->second.at < VisibilityTime) {
        return;
    }
    if (this->pending.empty()) {
        this->oldestRequest = now;
    }
    this->pending.insert_or_assign(id, std::move(record));
}

std::optional<TimePoint> RegistrationQueue::dueAt() const
{
    if (this->pending.empty()) {
        return std::nullopt;
    }
    return this->oldestRequest + CollectTime;
}

std::vector<RegistrationQueue::Registration> RegistrationQueue::take(std::size_t most,
                                                                     TimePoint now)
{
    std::erase_if(this->written,
                  [now](const auto &entry) { return now - entry.second.at >= VisibilityTime; });
    std::vector<Registration> taken;
    while (!this->pending.empty() && taken.size() < most) {
        auto entry = this->pending.extract(this->pending.begin());
        this->written.insert_or_assign(entry.key(), Written{entry.mapped(), now});
        taken.emplace_back(std::move(entry.key()), std::move(entry.mapped()));
    }
    return taken;
}

void RegistrationQueue::writeFailed(const std::vector<Registration> &registrations)
{
    for (const auto &[id, record] : registrations) {
        this->written.erase(id);
    }
}

} // namespace bronzeshed
