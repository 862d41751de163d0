#include "table.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    constexpr std::size_t columnGap = 2;

}

Table::Table(std::vector<std::string> head)
{
    m_rows.push_back(std::move(head));
}

void Table::add(std::vector<std::string> row)
{
    row.resize(m_rows.front().size());
    m_rows.push_back(std::move(row));
}

std::string Table::text() const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto& row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const auto& row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] + columnGap - row[column].size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text.append(line).append("\n");
    }
    return text;
}

}
