#include "randomid.h"

#include <array>
#include <cstdio>
#include <random>

namespace kingcuptrail {

std::string makeRandomId()
{
    std::random_device random;
    std::array<char, 33> digits {};
    std::snprintf(digits.data(), digits.size(), "%08x%08x%08x%08x", random(), random(), random(), random());
    return digits.data();
}

}
