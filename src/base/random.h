#ifndef BRONZESHED_BASE_RANDOM_H
#define BRONZESHED_BASE_RANDOM_H

#include <cstdint>
#include <random>

namespace bronzeshed {

/** Port for random numbers. */
class Random
{
public:
    virtual ~Random() = default;

    /** A number from the whole 64-bit range. */
    virtual std::uint64_t next() = 0;

    /** A number from 0 to @p bound - 1; 0 if @p bound is 0. */
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : this->next() % bound; }

    /** A number in [0, 1). */
    double unit() { return static_cast<double>(this->next() >> 11U) * 0x1.0p-53; }
};

/** Repeatable random numbers from a seed. */
class SeededRandom : public Random
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : engine(seed)
    {
    }
    std::uint64_t next() override { return this->engine(); }

private:
    std::mt19937_64 engine;
};

/** Seeds a generator from the operating system's entropy source. */
SeededRandom makeSystemRandom();

} // namespace bronzeshed

#endif
