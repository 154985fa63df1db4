#include "standins/keyvaluestandin.h"

namespace bronzeshed {

namespace {

constexpr std::size_t KeptValues = 16;

} // namespace

KeyValueStandin::Entry KeyValueStandin::get(const std::string &key) const
{
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? Entry{} : found->second.back();
}

bool KeyValueStandin::compareAndSwap(const std::string &key, std::uint64_t expected,
                                     std::string value)
{
    if (this->get(key).revision != expected) {
        return false;
    }
    this->overwrite(key, std::move(value));
    return true;
}

void KeyValueStandin::overwrite(const std::string &key, std::string value)
{
    std::deque<Entry> &history = this->entries[key];
    history.push_back({std::move(value), ++this->lastRevision});
    if (history.size() > KeptValues) {
        history.pop_front();
    }
}

bool KeyValueStandin::restore(const std::string &key, std::size_t steps)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || steps >= found->second.size()) {
        return false;
    }
    const std::deque<Entry> &history = found->second;
    this->overwrite(key, std::string(history[history.size() - 1 - steps].value));
    return true;
}

} // namespace bronzeshed
