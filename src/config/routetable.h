#ifndef BRONZESHED_CONFIG_ROUTETABLE_H
#define BRONZESHED_CONFIG_ROUTETABLE_H

#include "base/strongid.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace bronzeshed {

/** Maps the host and the longest matching path prefix of a request to its class. */
class RouteTable
{
public:
    /**
     * Adds a route or replaces the class of an existing one.
     * @param prefix path prefix that begins and ends with a slash
     */
    void add(std::string_view host, std::string_view prefix, const ClassName &className);

    /**
     * Returns the class of a request.
     * @param host as in the Host header, with or without a port
     * @param path without the query
     * @return nullptr if no route matches
     */
    const ClassName *find(std::string_view host, std::string_view path) const;

    bool isEmpty() const { return this->hosts.empty(); }

private:
    using Prefixes = std::map<std::string, ClassName, std::less<>>;

    std::map<std::string, Prefixes, std::less<>> hosts; ///< keyed by host in lower case
};

} // namespace bronzeshed

#endif
