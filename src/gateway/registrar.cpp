#include "gateway/registrar.h"

#include "base/error.h"
#include "base/logline.h"

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds StoreTimeout{1000};
/** Callers are sent to an entry at most this long after it died. */
constexpr std::chrono::milliseconds LeaseTime{3500};
/** One renewal may fail before the lease ends. */
constexpr std::chrono::milliseconds RenewPeriod{1500};
/** Renewals while the store is away, which find out when it is back. */
constexpr std::chrono::milliseconds TrialPeriod{700};
/** Renewals of an entry on which others rely. */
constexpr std::chrono::milliseconds RelayRenewPeriod{400};
/** The watch shows a registration only some time after it was written. */
constexpr std::chrono::seconds SettleTime{2};

} // namespace

Registrar::Registrar(const Endpoint &store, Member self, StoreHealth &health)
    : self(std::move(self))
    , health(health)
    , store(store, StoreTimeout)
    , thread([this] { this->run(); })
{
}

Registrar::~Registrar()
{
    this->leave();
}

void Registrar::registrationMissing()
{
    this->missing.store(true);
}

void Registrar::setRelaying(bool newRelaying)
{
    {
        const std::lock_guard lock(this->mutex);
        this->relaying = newRelaying;
        // A renewal shows the entries that now ask this one whether it reaches the store.
        this->renewAtOnce = newRelaying;
    }
    this->changed.notify_all();
}

void Registrar::leave()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    if (!this->thread.joinable()) {
        return;
    }
    this->thread.join();
    if (this->lease.value() == 0) {
        return;
    }
    try {
        this->store.endLease(this->lease);
    } catch (const Error &error) {
        // The lease ends by itself.
        LogLine("deregistration_failed", LogLevel::Warning).add("error", error.what());
    }
}

void Registrar::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        lock.unlock();
        try {
            this->step();
            this->health.succeeded(std::chrono::steady_clock::now());
        } catch (const Error &error) {
            this->health.failed(error.what(), std::chrono::steady_clock::now());
        }
        lock.lock();
        const auto usual = this->relaying ? RelayRenewPeriod : RenewPeriod;
        const auto period = this->health.isReachable() ? usual : TrialPeriod;
        this->changed.wait_for(lock, period,
                               [this] { return this->stopping || this->renewAtOnce; });
        this->renewAtOnce = false;
    }
}

void Registrar::step()
{
    const bool settled = std::chrono::steady_clock::now() - this->registeredAt >= SettleTime;
    if (this->lease.value() == 0 || (this->missing.load() && settled)) {
        this->registerAnew();
    } else if (!this->store.renewLease(this->lease)) {
        LogLine("lease_lost", LogLevel::Warning).add("lease", this->lease.value());
        this->lease = LeaseId();
        this->registerAnew();
    }
}

void Registrar::registerAnew()
{
    if (this->lease.value() == 0) {
        this->lease = this->store.grantLease(LeaseTime);
    }
    const std::string key = std::string(MemberPrefix) + this->self.id.value();
    if (!this->store.put(key, encodeMember(this->self), this->lease)) {
        this->lease = LeaseId();
        return;
    }
    this->missing.store(false);
    this->registeredAt = std::chrono::steady_clock::now();
    LogLine("registered").add("lease", this->lease.value());
}

} // namespace bronzeshed
