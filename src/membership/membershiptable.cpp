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
    const auto known = this->entries.find(member.id);
    if (known != this->entries.end()) {
        const Member &record = known->second.member;
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
            this->mergeOne(record);
        }
    }
}

void MembershipTable::refute(const Member &record)
{
    const bool sameAddress = record.callerEndpoint == this->own->callerEndpoint;
    if (sameAddress && record.incarnation > this->own->incarnation) {
        // Of a former process that started with a later wall clock. The own member must get a
        // higher incarnation, or else all other tables keep this record.
        this->mergeOne(record);
        return;
    }
    if (record.incarnation != this->own->incarnation || !takesPrecedence(record, *this->own)) {
        return;
    }
    this->own->counter = record.counter + 1;
    this->put(*this->own);
}

void MembershipTable::mergeOne(const Member &record)
{
    const auto known = this->entries.find(record.id);
    if (known == this->entries.end()) {
        // A forgotten dead member must not come back from a peer that forgets it later.
        const bool full = this->entries.size() >= this->limits.maxMembers;
        if (record.id.isEmpty() || record.state == MemberState::Dead || full) {
            return;
        }
        this->put(record);
        return;
    }
    Member merged = takesPrecedence(record, known->second.member) ? record : known->second.member;
    // Versions only rise within an incarnation, so the higher one is the newer one.
    for (const Member &source : {record, known->second.member}) {
        if (source.incarnation == merged.incarnation) {
            merged.configVersion = std::max(merged.configVersion, source.configVersion);
        }
    }
    if (!(merged == known->second.member)) {
        this->put(merged);
    }
}

void MembershipTable::put(const Member &member)
{
    const auto known = this->entries.find(member.id);
    if (known == this->entries.end()) {
        this->entries[member.id] = {member, this->clock.now(), std::nullopt};
        this->recordChange(std::nullopt, member);
        this->replaceSameAddress(member);
        return;
    }
    Entry &entry = known->second;
    const Member before = std::exchange(entry.member, member);
    const bool newProcess = before.incarnation != member.incarnation;
    if (newProcess || before.state != member.state) {
        this->recordChange(before.state, member);
    }
    if (newProcess || before.state != member.state || before.counter != member.counter) {
        entry.since = this->clock.now();
        entry.silentSince.reset();
    }
    this->replaceSameAddress(member);
}

void MembershipTable::replaceSameAddress(const Member &member)
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
            this->entries[older.id].since = this->clock.now();
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
        if (!entry.silentSince) {
            entry.silentSince = this->clock.now();
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
            entry.silentSince.reset();
        }
    }
}

bool MembershipTable::isOverdue(const Entry &entry, TimePoint now) const
{
    if (entry.member.state == MemberState::Suspect) {
        return now - entry.since >= this->limits.suspicion;
    }
    return entry.member.state == MemberState::Leaving && entry.silentSince
        && now - *entry.silentSince >= this->limits.suspicion;
}

void MembershipTable::tick()
{
    const TimePoint now = this->clock.now();
    const bool frozen = now - this->lastTick > this->limits.gap;
    this->lastTick = now;
    std::vector<Member> overdue;
    for (auto item = this->entries.begin(); item != this->entries.end();) {
        Entry &entry = item->second;
        if (frozen && entry.member.state != MemberState::Dead) {
            // A refutation may have arrived while this process was frozen and is still unread.
            entry.since = now;
            entry.silentSince.reset();
        }
        if (!this->isOwn(item->first) && this->isOverdue(entry, now)) {
            overdue.push_back(entry.member);
        }
        const bool forget = entry.member.state == MemberState::Dead && !this->isOwn(item->first)
            && now - entry.since >= this->limits.forget;
        item = forget ? this->entries.erase(item) : std::next(item);
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
    // The owner takes the changes after each call; the limit holds if it does not.
    if (this->changes.size() < this->limits.maxMembers) {
        this->changes.push_back({from, member});
    }
}

} // namespace bronzeshed
