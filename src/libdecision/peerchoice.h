#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <vector>

namespace kingcuptrail {

/// Up to `count` different addresses chosen at random, without `self`. The cost does not grow with the number of addresses.
std::vector<std::uint32_t> randomAddresses(std::span<const std::uint32_t> addresses, std::size_t count, std::uint32_t self, std::minstd_rand& random);

}
