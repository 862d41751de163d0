#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <optional>

namespace kingcuptrail {

/// Runs the context until `begin`'s callback was called with a result. The tool does one thing at a time.
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
