#include "standins/keyvaluestandin.h"

namespace bronzeshed {

KeyValueStandin::Entry KeyValueStandin::get(const std::string &key) const
{
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? Entry{} : found->second;
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
    this->entries[key] = {std::move(value), ++this->lastRevision};
}

} // namespace bronzeshed
