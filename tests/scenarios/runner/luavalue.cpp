#include "luavalue.h"

#include <lua5.4/lua.hpp>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    json toArray(lua_State* lua, int index)
    {
        json array = json::array();
        for (lua_Integer place = 1; lua_rawgeti(lua, index, place) != LUA_TNIL; ++place) {
            array.push_back(toJsonValue(lua, -1));
            lua_pop(lua, 1);
        }
        lua_pop(lua, 1);
        return array;
    }

    json toObject(lua_State* lua, int index)
    {
        json object = json::object();
        lua_pushnil(lua);
        while (lua_next(lua, index) != 0) {
            if (lua_type(lua, -2) == LUA_TSTRING)
                object[lua_tostring(lua, -2)] = toJsonValue(lua, -1);
            lua_pop(lua, 1);
        }
        return object;
    }

    bool isEmptyTable(lua_State* lua, int index)
    {
        lua_pushnil(lua);
        if (lua_next(lua, index) == 0)
            return true;
        lua_pop(lua, 2);
        return false;
    }

}

json toJsonValue(lua_State* lua, int index)
{
    index = lua_absindex(lua, index);
    switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
        return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
        return lua_isinteger(lua, index) ? json(lua_tointeger(lua, index)) : json(lua_tonumber(lua, index));
    case LUA_TSTRING:
        return lua_tostring(lua, index);
    case LUA_TTABLE:
        return lua_rawlen(lua, index) > 0 || isEmptyTable(lua, index) ? toArray(lua, index) : toObject(lua, index);
    default:
        return nullptr;
    }
}

void pushValue(lua_State* lua, const json& value)
{
    if (value.is_boolean()) {
        lua_pushboolean(lua, value.get<bool>());
    } else if (value.is_number_integer()) {
        lua_pushinteger(lua, value.get<lua_Integer>());
    } else if (value.is_number()) {
        lua_pushnumber(lua, value.get<lua_Number>());
    } else if (value.is_string()) {
        lua_pushstring(lua, value.get_ref<const std::string&>().c_str());
    } else if (value.is_array()) {
        lua_newtable(lua);
        lua_Integer place = 0;
        for (const json& element : value) {
            pushValue(lua, element);
            lua_rawseti(lua, -2, ++place);
        }
    } else if (value.is_object()) {
        lua_newtable(lua);
        for (const auto& [name, member] : value.items()) {
            pushValue(lua, member);
            lua_setfield(lua, -2, name.c_str());
        }
    } else {
        lua_pushnil(lua);
    }
}

}
