#ifndef BRONZESHED_BASE_RANDOM_H
#define BRONZESHED_BASE_RANDOM_H

#include <cstdint>
#include <random>

namespace bronzeshed {

/** Interface to a random number generator. */
class Random
{
public:
    virtual ~Random() = default;

    /** Returns a uniformly distributed number from the whole 64-bit range. */
    virtual std::uint64_t next() = 0;

    /** Returns a number from 0 to @p bound - 1; 0 if @p bound is 0. */
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : this->next() % bound; }

    /** Returns a uniformly distributed number in [0, 1). */
    double uniform() { return static_cast<double>(this->next() >> 11U) * 0x1.0p-53; }
};

/** Pseudo-random generator whose sequence is determined by its seed. */
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

/** Creates a generator seeded from the operating system's entropy source. */
SeededRandom makeSystemRandom();

} // namespace bronzeshed

#endif
