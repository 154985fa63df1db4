#ifndef BRONZESHED_STANDINS_KEYVALUESTANDIN_H
#define BRONZESHED_STANDINS_KEYVALUESTANDIN_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace bronzeshed {

/** Values with revisions and compare-and-swap, as the platform's key-value service offers them. */
class KeyValueStandin
{
public:
    struct Entry
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    /** Entry of a key; revision 0 if it does not exist. */
    Entry get(const std::string &key) const;

    /**
     * Sets a value if the key's revision is @p expected (0: must not exist).
     * @return whether the swap took effect
     */
    bool compareAndSwap(const std::string &key, std::uint64_t expected, std::string value);

    /** Puts a value in place whatever the revision. */
    void overwrite(const std::string &key, std::string value);

    /**
     * Puts an older value back under a new revision, as a restored backup does.
     * @param steps how many values to go back
     * @return false if no value is known that is so old
     */
    bool restore(const std::string &key, std::size_t steps);

private:
    std::map<std::string, std::deque<Entry>> entries; ///< newest last
    std::uint64_t lastRevision = 0;
};

} // namespace bronzeshed

#endif
