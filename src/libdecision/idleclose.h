#pragma once

#include "ids.h"

namespace kingcuptrail {

struct IdleCloseOptions {
    /// How much the lifetimes of idle connections that a server closes may differ: a part of the usual lifetime, and at
    /// least this, in milliseconds.
    double variation = 0.1;
    Millis minVariation = 1000;
};

/// The history of idle connections that one server closed.
struct IdleCloseHistory {
    /// How long the last connection that was closed without further data had been open, in milliseconds; 0 before the first.
    Millis usualLifetime = 0;
};

/// Whether the close of an idle connection of age `lifetime` indicates a restart of the server. `sentDataBeforeClose`
/// is set if the server sent something before it closed the connection.
/// A restart of an idle upstream takes milliseconds and shows neither in a request nor in a refused connection, and the cold
/// process would get the load of a warm one. Servers that close idle connections do so after a similar time, which is
/// learned from the first such close.
bool indicatesRestart(IdleCloseHistory&, const IdleCloseOptions&, Millis lifetime, bool sentDataBeforeClose);

}
