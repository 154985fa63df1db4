#include "requests/resolution.h"

namespace bronzeshed {

std::size_t RecordedAnswer::size() const
{
    std::size_t total = this->body.size();
    for (const auto &[name, value] : this->headers) {
        total += name.size() + value.size();
    }
    return total;
}

} // namespace bronzeshed
