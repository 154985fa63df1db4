#ifndef BRONZESHED_PLATFORM_KEYVALUESTORE_H
#define BRONZESHED_PLATFORM_KEYVALUESTORE_H

#include <cstdint>
#include <optional>
#include <string>

namespace bronzeshed {

/** A value and the revision of its key. */
struct StoredValue
{
    std::uint64_t revision = 0; ///< 0 if the key does not exist
    std::string value;
};

/** Result of a compare-and-swap. */
enum class SwapResult {
    Swapped,
    Conflict, ///< the key had a different revision; nothing was written
    Unknown, ///< no valid response; the swap may have taken effect
};

/** Port to the platform's key-value service. Calls block. */
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;
    /** @throws UnavailableError if the store does not respond */
    virtual StoredValue get(const std::string &key) = 0;
    /**
     * Waits for a revision above @p revision.
     * @return std::nullopt if the wait ended without a change
     * @throws UnavailableError if the store does not respond
     */
    virtual std::optional<StoredValue> watch(const std::string &key, std::uint64_t revision) = 0;
    /** Sets the value if the key's revision is @p revision; 0 means that the key must not exist. */
    virtual SwapResult compareAndSwap(const std::string &key, std::uint64_t revision,
                                      const std::string &value)
        = 0;
};

} // namespace bronzeshed

#endif
