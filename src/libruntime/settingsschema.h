#pragma once

#include <string_view>

namespace kingcuptrail {

/// The JSON Schema of a settings file. Checks that a schema cannot express are in parseSettings().
std::string_view settingsSchema();

}
