#include "luavalue.h"
#include "scenario.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <filesystem>
#include <iostream>
#include <lua5.4/lua.hpp>
#include <unistd.h>

ABSL_FLAG(std::string, folder, "", "folder for histories, settings and logs; if empty, a temporary one that is removed after a pass");

ABSL_FLAG(int, seed, 1, "value of the script's global `seed`");

using namespace kingcuptrail;

namespace {

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

/// The Lua function perform(verb, arguments). lua_error() jumps past C++ frames without running destructors, so it is called
/// only after all objects with destructors are gone.
int perform(lua_State* lua)
{
    bool hasFailed = false;
    {
        auto& scenario = *static_cast<Scenario*>(lua_touserdata(lua, lua_upvalueindex(1)));
        const std::string verb = lua_tostring(lua, 1) ? lua_tostring(lua, 1) : "";
        auto arguments = toJsonValue(lua, 2);
        if (!arguments.is_object())
            arguments = nlohmann::json::object();
        const auto result = scenario.perform(verb, arguments);
        hasFailed = result.is_object() && result.contains("error");
        pushValue(lua, hasFailed ? nlohmann::json(verb + ": " + result["error"].get<std::string>()) : result);
    }
    return hasFailed ? lua_error(lua) : 1;
}

/// Message handler that adds a stack traceback to the error.
int addTraceback(lua_State* lua)
{
    luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
    return 1;
}

bool run(const std::string& script, const ScenarioOptions& options)
{
    Scenario scenario(options);
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    lua_pushlightuserdata(lua, &scenario);
    lua_pushcclosure(lua, perform, 1);
    lua_setglobal(lua, "perform");
    lua_pushinteger(lua, absl::GetFlag(FLAGS_seed));
    lua_setglobal(lua, "seed");
    lua_pushcfunction(lua, addTraceback);
    const bool passed = luaL_loadfile(lua, SCENARIO_FOLDER "/verbs.lua") == LUA_OK && lua_pcall(lua, 0, 0, 1) == LUA_OK
        && luaL_loadfile(lua, script.c_str()) == LUA_OK && lua_pcall(lua, 0, 0, 1) == LUA_OK;
    if (!passed)
        std::cerr << lua_tostring(lua, -1) << "\n";
    lua_close(lua);
    return passed;
}

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Runs one scenario: scenario_runner SCRIPT.lua. Exit code 1: the scenario failed; its files are kept.");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    if (arguments.size() != 2)
        return exitUsage;
    const std::string script = arguments[1];
    ScenarioOptions options {
        .programs = {
            { "kingcuptraild", PROGRAM_KINGCUPTRAILD },
            { "standin_caller", PROGRAM_CALLER },
            { "standin_fabric", PROGRAM_FABRIC },
            { "standin_platform", PROGRAM_PLATFORM },
            { "standin_upstream", PROGRAM_UPSTREAM },
        },
        .folder = absl::GetFlag(FLAGS_folder),
    };
    const bool isTemporary = options.folder.empty();
    if (isTemporary)
        options.folder = std::filesystem::temp_directory_path() / ("kingcuptrail-" + std::filesystem::path(script).stem().string() + "-" + std::to_string(getpid()));
    std::filesystem::create_directories(options.folder);
    const bool passed = run(script, options);
    if (passed && isTemporary)
        std::filesystem::remove_all(options.folder);
    else
        std::cerr << "files are in " << options.folder << "\n";
    return passed ? 0 : exitFailed;
}
