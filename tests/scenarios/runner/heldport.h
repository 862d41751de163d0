#pragma once

#include <cstdint>

namespace kingcuptrail {

/// A free port of 127.0.0.1, held for a program that is about to listen there, and again after it was restarted. The
/// holder is bound but never listens: the host gives the port to nobody else, and a listener that sets SO_REUSEADDR, as
/// all of ours do, may still take it.
class HeldPort {
public:
    HeldPort();
    ~HeldPort();
    HeldPort(const HeldPort&) = delete;
    HeldPort& operator=(const HeldPort&) = delete;

    std::uint16_t number() const { return m_number; }

private:
    int m_socket = -1;
    std::uint16_t m_number = 0;
};

}
