#ifndef BRONZESHED_TESTS_ROUTING_DISPATCHERORACLE_H
#define BRONZESHED_TESTS_ROUTING_DISPATCHERORACLE_H

#include "routing/dispatcheroutput.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace bronzeshed {

/** Follows the decisions of a dispatcher and keeps the first one that breaks a rule. */
class DispatcherOracle : public DispatcherOutput
{
public:
    /** @param maxAttempts that an upstream may have at the same time */
    explicit DispatcherOracle(unsigned maxAttempts)
        : maxAttempts(maxAttempts)
    {
    }

    void startAttempt(const AttemptOrder &order) override
    {
        Call &call = this->calls[order.call];
        this->require(call.ends == 0, "an attempt starts only for an open call");
        this->require(this->allowed, "no attempt starts on stale control state");
        this->require(this->availableUpstreams.contains(order.upstream.id),
                      "a leaving or draining upstream gets no attempt");
        this->require(call.repeatable || (!call.mayHaveRun && call.running == 0),
                      "a non-idempotent call has one attempt that may have run");
        const auto used
            = std::count_if(this->attempts.begin(), this->attempts.end(), [&](auto &entry) {
                  return entry.second.upstream.id == order.upstream.id;
              });
        this->require(used < this->maxAttempts, "an upstream has no more attempts than allowed");
        ++call.running;
        this->attempts.emplace(order.attempt, order);
    }

    void cancelAttempt(AttemptId id) override
    {
        this->require(this->attempts.contains(id), "only an open attempt is cancelled");
        this->cancelled.insert(id);
    }

    void finishCall(CallId id, Outcome outcome, Reason /*reason*/, AttemptId winner) override
    {
        Call &call = this->calls[id];
        this->require(++call.ends == 1, "a call ends once");
        const bool mayHaveRun = call.mayHaveRun || call.running > 0;
        this->require(outcome != Outcome::NotRun || !mayHaveRun, "not-run is certain");
        this->require(outcome != Outcome::Unknown || mayHaveRun, "unknown needs an attempt");
        for (const auto &[attempt, order] : this->attempts) {
            this->require(order.call != id || this->cancelled.contains(attempt),
                          "attempts that lost are cancelled");
        }
        this->require(outcome != Outcome::Answered
                          || (winner == this->answered && winner.value() > 0),
                      "the answer is the one that was just reported");
    }

    void setUpstreams(const std::vector<UpstreamInfo> &infos)
    {
        this->availableUpstreams.clear();
        for (const UpstreamInfo &info : infos) {
            if (this->leavingUpstreams.erase(info.id) > 0 && !info.leaving) {
                this->drainingUpstreams.erase(info.id);
            }
            if (info.leaving) {
                this->leavingUpstreams.insert(info.id);
            }
            if (!info.leaving && !this->drainingUpstreams.contains(info.id)) {
                this->availableUpstreams.insert(info.id);
            }
        }
    }

    void attemptEnds(AttemptId id, const AttemptReport &report)
    {
        const AttemptOrder order = this->attempts.at(id);
        this->attempts.erase(id);
        if (report.draining) {
            this->drainingUpstreams.insert(order.upstream.id);
            this->availableUpstreams.erase(order.upstream.id);
        }
        Call &call = this->calls[order.call];
        --call.running;
        const bool didNotRun
            = report.status == AttemptStatus::NotSent || report.status == AttemptStatus::NotStarted;
        call.mayHaveRun = call.mayHaveRun || !didNotRun;
        this->answered = report.status == AttemptStatus::Answered ? id : AttemptId();
    }

    std::set<CallId> openCalls() const
    {
        std::set<CallId> result;
        for (const auto &[id, call] : this->calls) {
            if (call.ends == 0) {
                result.insert(id);
            }
        }
        return result;
    }

    void admitted(CallId id, bool repeatable) { this->calls[id].repeatable = repeatable; }
    void setAllowed(bool value) { this->allowed = value; }
    const std::map<AttemptId, AttemptOrder> &openAttempts() const { return this->attempts; }
    const std::string &violation() const { return this->firstViolation; }

private:
    struct Call
    {
        bool repeatable = false;
        bool mayHaveRun = false;
        unsigned running = 0;
        unsigned ends = 0;
    };

    void require(bool holds, const char *rule)
    {
        if (!holds && this->firstViolation.empty()) {
            this->firstViolation = rule;
        }
    }

    std::map<CallId, Call> calls;
    std::map<AttemptId, AttemptOrder> attempts;
    std::set<AttemptId> cancelled;
    std::set<UpstreamId> availableUpstreams;
    std::set<UpstreamId> drainingUpstreams;
    std::set<UpstreamId> leavingUpstreams; ///< marked as leaving by the last listing
    unsigned maxAttempts;
    AttemptId answered; ///< the attempt whose answer is being reported
    bool allowed = true;
    std::string firstViolation;
};

} // namespace bronzeshed

#endif
