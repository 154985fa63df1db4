#ifndef BRONZESHED_TESTS_ROUTING_DISPATCHERFIXTURE_H
#define BRONZESHED_TESTS_ROUTING_DISPATCHERFIXTURE_H

#include "routing/dispatcher.h"
#include "routing/freeslotpolicy.h"

#include <algorithm>

namespace bronzeshed {

/** Keeps what a dispatcher decided. */
class RecordingOutput : public DispatcherOutput
{
public:
    struct End
    {
        CallId id;
        Outcome outcome;
        Reason reason;
        AttemptId winner;
    };

    void startAttempt(const AttemptOrder &order) override { this->orders.push_back(order); }
    void cancelAttempt(AttemptId id) override { this->cancelled.push_back(id); }
    void finishCall(CallId id, Outcome outcome, Reason reason, AttemptId winner) override
    {
        this->ends.push_back({id, outcome, reason, winner});
    }
    bool startProbe(const ProbeOrder &order) override
    {
        this->probes.push_back(order);
        return this->canProbe;
    }

    std::vector<AttemptOrder> orders;
    std::vector<AttemptId> cancelled;
    std::vector<End> ends;
    std::vector<ProbeOrder> probes;
    bool canProbe = false;
};

/** A dispatcher in region "r", zone "a", with classes "reads" (repeatable) and "orders". */
struct DispatcherFixture
{
    explicit DispatcherFixture(std::unique_ptr<SelectionPolicy> policy
                               = std::make_unique<FreeSlotPolicy>())
        : dispatcher(this->clock, this->random, this->timers, this->output, std::move(policy),
                     DispatcherOptions{4096, 2, RegionName("r"), ZoneName("a")})
    {
        this->declaration.services.insert(ServiceName("s"));
        for (const bool repeatable : {true, false}) {
            ClassTarget target;
            target.name = ClassName(repeatable ? "reads" : "orders");
            target.service = ServiceName("s");
            target.answerWithin = std::chrono::milliseconds(50);
            target.repeatable = repeatable;
            this->declaration.classes.emplace(target.name, target);
        }
    }

    static UpstreamInfo upstream(const std::string &id, const std::string &region = "r")
    {
        UpstreamInfo info;
        info.id = UpstreamId(id);
        info.service = ServiceName("s");
        info.region = RegionName(region);
        info.zone = ZoneName("a");
        info.endpoint = Endpoint{"127.0.0.1", 1};
        return info;
    }

    void list(const std::vector<std::string> &ids)
    {
        std::vector<UpstreamInfo> infos(ids.size());
        std::transform(ids.begin(), ids.end(), infos.begin(),
                       [](const std::string &id) { return upstream(id); });
        this->dispatcher.update(this->declaration, infos);
    }

    CallId admit(const char *className, std::chrono::milliseconds timeLeft, unsigned attempt = 0)
    {
        this->lastCall = this->lastCall.next();
        this->dispatcher.admit({this->lastCall, ClassName(className), timeLeft, 0, attempt});
        return this->lastCall;
    }

    void advance(Duration step)
    {
        const TimePoint end = this->clock.now() + step;
        while (this->timers.nextDue() && *this->timers.nextDue() <= end) {
            this->clock.set(*this->timers.nextDue());
            this->timers.fire(this->clock.now());
        }
        this->clock.set(end);
    }

    void end(const AttemptOrder &order, AttemptStatus status, unsigned httpStatus = 200)
    {
        AttemptReport report;
        report.status = status;
        report.httpStatus = httpStatus;
        this->dispatcher.attemptEnded(order.attempt, report);
    }

    /** Runs a call to its end. @return the upstream of its first attempt */
    std::string runCall(const char *className, AttemptStatus status,
                        Duration serviceTime = std::chrono::milliseconds(5))
    {
        const std::size_t before = this->output.orders.size();
        const CallId id = this->admit(className, std::chrono::milliseconds(100000));
        if (this->output.orders.size() == before) {
            this->dispatcher.callerLeft(id);
            return "";
        }
        const AttemptOrder order = this->output.orders[before];
        // The end comes before timers that are due at the same time, so no hedge starts.
        this->clock.advance(serviceTime);
        this->end(order, status);
        this->dispatcher.callerLeft(id);
        return order.upstream.id.value();
    }

    const RecordingOutput::End &lastEnd() const { return this->output.ends.back(); }

    ManualClock clock;
    SeededRandom random{7};
    TimerService timers;
    RecordingOutput output;
    Declaration declaration;
    Dispatcher dispatcher;
    CallId lastCall;
};

} // namespace bronzeshed

#endif
