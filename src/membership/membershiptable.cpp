#include "membership/membershiptable.h"

#include <algorithm>
#include <tuple>

namespace bronzeshed {

namespace {

int stateRank(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Suspect:
        return 1;
    case MemberState::Leaving:
        return 2;
    case MemberState::Dead:
        return 3;
    }
    return 3;
}

auto precedence(const Member &member)
{
    return std::make_tuple(member.incarnation.value(), member.counter, stateRank(member.state),
                           member.agentEndpoint, member.callerEndpoint, member.ledgerEndpoint,
                           member.region, member.zone);
}

} // namespace

bool isLive(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

const char *memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "dead";
}

bool takesPrecedence(const Member &left, const Member &right)
{
    return precedence(left) > precedence(right);
}

MembershipTable::MembershipTable(const Clock &clock, const MembershipLimits &limits)
    : clock(clock)
    , limits(limits)
    , lastTick(clock.now())
{
}

void MembershipTable::setSelf(Member member)
{
    const auto existing = this->entries.find(member.id);
    if (existing != this->entries.end()) {
        const Member &record = existing->second.member;
        if (record.incarnation == member.incarnation) {
            member.counter = std::max(member.counter, record.counter);
            if (!takesPrecedence(member, record) && precedence(member) != precedence(record)) {
                member.counter = record.counter + 1;
            }
        }
    }
    this->own = member;
    this->put(member);
}

void MembershipTable::merge(const std::vector<Member> &records)
{
    for (const Member &record : records) {
        if (this->own && record.id == this->own->id) {
            this->refute(record);
        } else {
            this->mergeRecord(record);
        }
    }
}

void MembershipTable::refute(const Member &record)
{
    const bool sameAddress = record.callerEndpoint == this->own->callerEndpoint;
    if (sameAddress && record.incarnation > this->own->incarnation) {
        // The record is from a former process that started with a later wall clock. The own member
        // needs a higher incarnation, otherwise all other tables keep this record.
        this->mergeRecord(record);
        return;
    }
    if (record.incarnation != this->own->incarnation || !takesPrecedence(record, *this->own)) {
        return;
    }
    this->own->counter = record.counter + 1;
    this->put(*this->own);
}

void MembershipTable::mergeRecord(const Member &record)
{
    const auto existing = this->entries.find(record.id);
    if (existing == this->entries.end()) {
        // A removed dead member must not be added again by a peer that removes it later.
        const bool full = this->entries.size() >= this->limits.maxMembers;
        if (record.id.isEmpty() || record.state == MemberState::Dead || full) {
            return;
        }
        this->put(record);
        return;
    }
    Member merged
        = takesPrecedence(record, existing->second.member) ? record : existing->second.member;
    // Versions only increase within an incarnation, so the higher version is newer.
    for (const Member &source : {record, existing->second.member}) {
        if (source.incarnation == merged.incarnation) {
            merged.configVersion = std::max(merged.configVersion, source.configVersion);
        }
    }
    if (!(merged == existing->second.member)) {
        this->put(merged);
    }
}

void MembershipTable::put(const Member &member)
{
    const auto existing = this->entries.find(member.id);
    if (existing == this->entries.end()) {
        this->entries[member.id] = {member, this->clock.now(), std::nullopt};
        this->recordChange(std::nullopt, member);
        this->replaceOlderAtAddress(member);
        return;
    }
    Entry &entry = existing->second;
    const Member before = std::exchange(entry.member, member);
    const bool newProcess = before.incarnation != member.incarnation;
    if (newProcess || before.state != member.state) {
        this->recordChange(before.state, member);
    }
    if (newProcess || before.state != member.state || before.counter != member.counter) {
        entry.stateSince = this->clock.now();
        entry.failingSince.reset();
    }
    this->replaceOlderAtAddress(member);
}

void MembershipTable::replaceOlderAtAddress(const Member &member)
{
    if (member.callerEndpoint.port == 0) {
        return;
    }
    for (auto &[id, entry] : this->entries) {
        if (id == member.id || entry.member.callerEndpoint != member.callerEndpoint
            || entry.member.incarnation == member.incarnation) {
            continue;
        }
        Member &older = entry.member.incarnation < member.incarnation
            ? entry.member
            : this->entries[member.id].member;
        if (older.state != MemberState::Dead && !this->isOwn(older.id)) {
            const MemberState from = older.state;
            older.state = MemberState::Dead;
            this->entries[older.id].stateSince = this->clock.now();
            this->recordChange(from, older);
        }
    }
}

void MembershipTable::callFailed(const Endpoint &agent)
{
    for (auto &[id, entry] : this->entries) {
        if (this->isOwn(id) || entry.member.agentEndpoint != agent) {
            continue;
        }
        if (!entry.failingSince) {
            entry.failingSince = this->clock.now();
        }
        if (entry.member.state == MemberState::Alive) {
            Member suspected = entry.member;
            suspected.state = MemberState::Suspect;
            this->put(suspected);
        }
    }
}

void MembershipTable::callAnswered(const Endpoint &agent)
{
    for (auto &[id, entry] : this->entries) {
        if (entry.member.agentEndpoint == agent) {
            entry.failingSince.reset();
        }
    }
}

bool MembershipTable::isOverdue(const Entry &entry, TimePoint now) const
{
    if (entry.member.state == MemberState::Suspect) {
        return now - entry.stateSince >= this->limits.suspicionTimeout;
    }
    return entry.member.state == MemberState::Leaving && entry.failingSince
        && now - *entry.failingSince >= this->limits.suspicionTimeout;
}

void MembershipTable::tick()
{
    const TimePoint now = this->clock.now();
    const bool wasSuspended = now - this->lastTick > this->limits.maxTickGap;
    this->lastTick = now;
    std::vector<Member> overdue;
    for (auto item = this->entries.begin(); item != this->entries.end();) {
        Entry &entry = item->second;
        if (wasSuspended && entry.member.state != MemberState::Dead) {
            // A refutation may have arrived during the suspension and not have been read yet.
            entry.stateSince = now;
            entry.failingSince.reset();
        }
        if (!this->isOwn(item->first) && this->isOverdue(entry, now)) {
            overdue.push_back(entry.member);
        }
        const bool remove = entry.member.state == MemberState::Dead && !this->isOwn(item->first)
            && now - entry.stateSince >= this->limits.deadRetention;
        item = remove ? this->entries.erase(item) : std::next(item);
    }
    for (Member &member : overdue) {
        member.state = MemberState::Dead;
        this->put(member);
    }
}

std::vector<Member> MembershipTable::members() const
{
    std::vector<Member> all;
    all.reserve(this->entries.size());
    for (const auto &[id, entry] : this->entries) {
        all.push_back(entry.member);
    }
    return all;
}

std::optional<Member> MembershipTable::find(const InstanceId &id) const
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? std::nullopt : std::optional(found->second.member);
}

std::vector<MemberChange> MembershipTable::takeChanges()
{
    return std::exchange(this->changes, {});
}

void MembershipTable::recordChange(std::optional<MemberState> from, const Member &member)
{
    // The table's owner takes the changes after each call. The limit bounds the memory if it does
    // not.
    if (this->changes.size() < this->limits.maxMembers) {
        this->changes.push_back({from, member});
    }
}

} // namespace bronzeshed
