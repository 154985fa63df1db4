#include "config/routetable.h"

#include <algorithm>
#include <cctype>

namespace bronzeshed {

namespace {

/** Returns the host name in lower case and without the port. */
std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char byte) { return static_cast<char>(std::tolower(byte)); });
    return name;
}

} // namespace

void RouteTable::add(std::string_view host, std::string_view prefix, const ClassName &className)
{
    this->hosts[normalizedHost(host)].insert_or_assign(std::string(prefix), className);
}

const ClassName *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = this->hosts.find(normalizedHost(host));
    if (prefixes == this->hosts.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so only the parts of the path that end with one are looked up.
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end()) {
            return &found->second;
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

} // namespace bronzeshed
