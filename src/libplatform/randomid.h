#pragma once

#include <string>

namespace kingcuptrail {

/// 128 random bits in hexadecimal digits: a unique id for the writes of one process or one operator's change.
std::string makeRandomId();

}
