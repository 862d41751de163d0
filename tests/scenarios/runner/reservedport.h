#pragma once

#include <cstdint>

namespace kingcuptrail {

/// Reserves a free port of 127.0.0.1 for a program that is about to listen there, also across restarts of the program.
/// The socket is bound but never listens: the kernel assigns the port to no other socket, while a listener that sets
/// SO_REUSEADDR, as all programs of this project do, can still bind it.
class ReservedPort {
public:
    ReservedPort();
    ~ReservedPort();
    ReservedPort(const ReservedPort&) = delete;
    ReservedPort& operator=(const ReservedPort&) = delete;

    std::uint16_t number() const { return m_number; }

private:
    int m_socket = -1;
    std::uint16_t m_number = 0;
};

}
