#include "config/declarationdiff.h"

#include <array>
#include <charconv>
#include <utility>

namespace bronzeshed {

namespace {

using KeyValues = std::vector<std::pair<std::string, std::string>>;

/** Returns the shortest text that parses to the same number. */
std::string formatNumber(double number)
{
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    return {buffer.data(), result.ptr};
}

KeyValues keyValuesOf(const ClassTarget &target)
{
    return {{"service", "\"" + target.service.value() + "\""},
            {"answer_within_ms", std::to_string(target.answerWithin.count())},
            {"share", formatNumber(target.share)},
            {"repeatable", target.repeatable ? "true" : "false"},
            {"deadline_ms", std::to_string(target.deadline.count())}};
}

KeyValues keyValuesOf(const MeasuringBudget &budget)
{
    return {{"server_time_share", formatNumber(budget.serverTimeShare)},
            {"bytes_per_second", std::to_string(budget.bytesPerSecond)}};
}

void addKeyChanges(std::vector<DeclarationChange> &changes, ChangeSubject subject,
                   const std::string &name, const KeyValues &before, const KeyValues &after)
{
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (before[i].second != after[i].second) {
            changes.push_back({ChangeKind::Changed, subject, name, before[i].first,
                               before[i].second, after[i].second});
        }
    }
}

void addServiceChanges(std::vector<DeclarationChange> &changes, const Declaration &before,
                       const Declaration &after)
{
    for (const ServiceName &service : before.services) {
        if (!after.services.contains(service)) {
            changes.push_back(
                {ChangeKind::Removed, ChangeSubject::Service, service.value(), "", "", ""});
        }
    }
    for (const ServiceName &service : after.services) {
        if (!before.services.contains(service)) {
            changes.push_back(
                {ChangeKind::Added, ChangeSubject::Service, service.value(), "", "", ""});
        }
    }
}

void addClassChanges(std::vector<DeclarationChange> &changes, const Declaration &before,
                     const Declaration &after)
{
    for (const auto &[name, target] : before.classes) {
        const auto found = after.classes.find(name);
        if (found == after.classes.end()) {
            changes.push_back(
                {ChangeKind::Removed, ChangeSubject::Class, name.value(), "", "", ""});
            continue;
        }
        addKeyChanges(changes, ChangeSubject::Class, name.value(), keyValuesOf(target),
                      keyValuesOf(found->second));
    }
    for (const auto &[name, target] : after.classes) {
        if (!before.classes.contains(name)) {
            changes.push_back({ChangeKind::Added, ChangeSubject::Class, name.value(), "", "", ""});
        }
    }
}

std::string subjectName(const DeclarationChange &change)
{
    switch (change.subject) {
    case ChangeSubject::Class:
        return "class." + change.name;
    case ChangeSubject::Service:
        return "service." + change.name;
    case ChangeSubject::Measuring:
        return "measuring";
    }
    return {};
}

} // namespace

std::string DeclarationChange::toString() const
{
    const std::string path = subjectName(*this);
    if (this->kind == ChangeKind::Added) {
        return path + ": added";
    }
    if (this->kind == ChangeKind::Removed) {
        return path + ": removed";
    }
    return path + "." + this->key + ": " + this->before + " -> " + this->after;
}

std::vector<DeclarationChange> diffDeclarations(const Declaration &before, const Declaration &after)
{
    std::vector<DeclarationChange> changes;
    addKeyChanges(changes, ChangeSubject::Measuring, "", keyValuesOf(before.measuring),
                  keyValuesOf(after.measuring));
    addServiceChanges(changes, before, after);
    addClassChanges(changes, before, after);
    return changes;
}

} // namespace bronzeshed
