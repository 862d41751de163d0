#pragma once

#include "libdecision/ids.h"
#include "libruntime/clock.h"

#include <fstream>
#include <string>

namespace review {

using kingcuptrail::Millis;

/// The record of a run: what was sent, answered and run, a line each, with the time since the start in milliseconds.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_startedAt(kingcuptrail::Clock().now())
    {
    }

    Millis now() const { return kingcuptrail::Clock().now() - m_startedAt; }
    void add(const std::string& line) { m_file << now() << " " << line << "\n"; }

private:
    std::ofstream m_file;
    Millis m_startedAt;
};

}
