// 64-bit hash (XXH3) for sharding and rendezvous hashing. The values are stable across processes and versions.

#pragma once

#include <cstdint>
#include <string_view>

#include <xxhash.h>

namespace daisymount::framework
{

inline uint64_t hash64(std::string_view text, uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace daisymount::framework
