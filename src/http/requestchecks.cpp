#include "http/requestchecks.h"

#include <algorithm>
#include <string_view>

namespace bronzeshed {

namespace {

bool isSingletonHeader(std::string_view name)
{
    return equalsIgnoringCase(name, "Host") || equalsIgnoringCase(name, "Content-Length")
        || equalsIgnoringCase(name.substr(0, 11), "Bronzeshed-");
}

} // namespace

std::string findRepeatedHeader(const HttpHeaders &headers)
{
    const auto &fields = headers.fields();
    for (auto field = fields.begin(); field != fields.end(); ++field) {
        const auto repeats = [&](const HttpHeaders::Field &later) {
            return equalsIgnoringCase(later.first, field->first);
        };
        if (std::any_of(field + 1, fields.end(), repeats) && isSingletonHeader(field->first)) {
            return field->first;
        }
    }
    return {};
}

bool hasUnambiguousFraming(const HttpHeaders &headers)
{
    const auto coding = headers.find("Transfer-Encoding");
    if (!coding) {
        return true;
    }
    return headers.count("Transfer-Encoding") == 1 && equalsIgnoringCase(*coding, "chunked");
}

} // namespace bronzeshed
