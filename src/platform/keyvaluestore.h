#ifndef BRONZESHED_PLATFORM_KEYVALUESTORE_H
#define BRONZESHED_PLATFORM_KEYVALUESTORE_H

#include <cstdint>
#include <optional>
#include <string>

namespace bronzeshed {

/** A value of the store. */
struct StoredValue
{
    std::uint64_t revision = 0; ///< 0 if the key does not exist
    std::string value;
};

enum class SwapResult {
    Swapped,
    Conflict, ///< the revision was another one; nothing was written
    Unknown, ///< no answer; the swap may have taken effect
};

/** Port to the platform's key-value service. Calls block. */
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;
    /** @throws UnavailableError if the store does not answer */
    virtual StoredValue get(const std::string &key) = 0;
    /**
     * Waits for a revision above @p revision.
     * @return nothing if the wait ended without a change
     * @throws UnavailableError if the store does not answer
     */
    virtual std::optional<StoredValue> watch(const std::string &key, std::uint64_t revision) = 0;
    /** Sets the value if the key's revision is @p revision; 0 means that the key must not exist. */
    virtual SwapResult compareAndSwap(const std::string &key, std::uint64_t revision,
                                      const std::string &value)
        = 0;
};

} // namespace bronzeshed

#endif
