#include "base/random.h"

namespace bronzeshed {

SeededRandom makeSystemRandom()
{
    std::random_device device;
    const std::uint64_t high = device();
    const std::uint64_t low = device();
    return SeededRandom((high << 32U) | low);
}

} // namespace bronzeshed
