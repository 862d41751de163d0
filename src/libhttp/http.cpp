#include "http.h"

#include <algorithm>
#include <charconv>

namespace kingcuptrail {

namespace {

    char toLower(char letter)
    {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    }

    std::optional<char> decodeHex(std::string_view digits)
    {
        unsigned value = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (error != std::errc() || end != digits.data() + digits.size())
            return std::nullopt;
        return static_cast<char>(value);
    }

}

bool isSameHeaderName(std::string_view first, std::string_view second)
{
    return std::equal(first.begin(), first.end(), second.begin(), second.end(),
        [](char a, char b) { return toLower(a) == toLower(b); });
}

std::string_view headerValue(const std::vector<HttpHeader>& headers, std::string_view name)
{
    for (const HttpHeader& header : headers) {
        if (isSameHeaderName(header.name, name))
            return header.value;
    }
    return {};
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(std::string_view target, std::string_view name)
{
    const std::size_t start = target.find('?');
    std::string_view query = start == std::string_view::npos ? std::string_view() : target.substr(start + 1);
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name)
            return percentDecode(pair.substr(std::min(equals + 1, pair.size())));
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto letter = text[index] == '%' && index + 2 < text.size() ? decodeHex(text.substr(index + 1, 2)) : std::nullopt;
        if (letter)
            index += 2;
        decoded.push_back(letter.value_or(text[index]));
    }
    return decoded;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        if (unreserved.find(letter) != std::string_view::npos) {
            encoded.push_back(letter);
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        encoded.push_back('%');
        encoded.push_back(digits[byte >> 4]);
        encoded.push_back(digits[byte & 15]);
    }
    return encoded;
}

}
