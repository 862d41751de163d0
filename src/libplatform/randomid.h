#pragma once

#include <string>

namespace kingcuptrail {

/// 128 random bits in hexadecimal digits, to tell this process's or operator's own writes from all others.
std::string makeRandomId();

}
