#include "loglines.h"

#include "libplatform/jsontext.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    void readAll(std::istream& input, const std::function<void(const std::string&)>& onLine)
    {
        for (std::string text; std::getline(input, text);)
            onLine(text);
    }

}

std::optional<CommandResult> readLogs(const CtlOptions& options, const std::function<void(const std::string&)>& onLine)
{
    if (options.logs.empty())
        readAll(std::cin, onLine);
    for (const std::string& path : options.logs) {
        std::ifstream file(path);
        if (!file)
            return makeResult(ExitCode::FileUnreadable, path + ": cannot be read\n", { { "file", path } });
        readAll(file, onLine);
    }
    return std::nullopt;
}

json logObject(const std::string& line)
{
    const auto start = line.find('{');
    return start == std::string::npos ? json() : parseJson(line.substr(start));
}

std::string textOf(const json& line, std::string_view field)
{
    const auto found = line.find(field);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t numberOf(const json& line, std::string_view field)
{
    const auto found = line.find(field);
    return found != line.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::uint64_t quantile(std::vector<std::uint64_t> values, double part)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

}
