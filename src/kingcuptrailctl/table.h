#pragma once

#include <string>
#include <vector>

namespace kingcuptrail {

/// A text table. Each column is as wide as its widest cell, with two spaces between columns.
class Table {
public:
    explicit Table(std::vector<std::string> head);

    void add(std::vector<std::string> row);
    bool isEmpty() const { return m_rows.size() <= 1; }
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

}
