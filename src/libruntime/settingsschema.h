#pragma once

#include <string_view>

namespace kingcuptrail {

/// The JSON Schema of a settings file. Cross-checks that a schema cannot say are in parseSettings().
std::string_view settingsSchema();

}
