#pragma once

#include "directory.h"

#include <random>

namespace kingcuptrail {

/// Up to `count` different addresses chosen at random, without `self`. The cost does not grow with the number of addresses.
std::vector<std::uint32_t> randomAddresses(std::span<const std::uint32_t> addresses, std::size_t count, std::uint32_t self, std::minstd_rand& random);

/// Up to `perDataCentre` random processes of each data centre, without `self`. A change that its origin sends to them and that
/// each receiver passes on within its data centre reaches every process, and its bytes between data centres grow with the
/// number of data centres only.
std::vector<std::uint32_t> randomInEachDataCentre(const Directory&, std::size_t perDataCentre, std::uint32_t self, std::minstd_rand& random);

}
