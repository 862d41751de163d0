#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <optional>

namespace kingcuptrail {

/// Calls `begin` and runs the context until its callback is called with a result; used by commands, which make one call
/// at a time. Returns a default result if the context runs out of work first.
template <typename Result>
Result awaitResult(asio::io_context& context, const std::function<void(std::function<void(Result)>)>& begin)
{
    std::optional<Result> result;
    begin([&result](Result made) { result = std::move(made); });
    context.restart();
    while (!result && context.run_one() > 0) { }
    return std::move(result).value_or(Result {});
}

}
