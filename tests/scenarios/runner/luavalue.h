#pragma once

#include <nlohmann/json.hpp>

struct lua_State;

namespace kingcuptrail {

/// Converts the value at `index` to JSON. A table with a first element, or an empty one, becomes an array, any other an object.
nlohmann::json toJsonValue(lua_State* lua, int index);

/// Pushes a JSON value onto the stack; null becomes nil.
void pushValue(lua_State* lua, const nlohmann::json& value);

}
