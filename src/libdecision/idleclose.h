#pragma once

#include "ids.h"

namespace kingcuptrail {

struct IdleCloseOptions {
    /// How much the lives of connections that a server closes for being idle may differ: a part of the usual life, and at
    /// least this, in milliseconds.
    double variation = 0.1;
    Millis leastVariation = 1000;
};

/// What the ends of idle connections to one server have shown.
struct IdleCloseHistory {
    /// How long the last one that ended without a word had been held, in milliseconds; 0 before the first.
    Millis usualLife = 0;
};

/// Whether the end of an idle connection that was held for `life` shows a restart of the server. `toldWhy`: the server sent
/// something before it closed.
/// Load: an upstream without work is restarted within milliseconds. Harm: neither a request nor a refused connection shows
/// it, and the next callers meet a cold process with the load of a warm one.
/// Limit: a server that closes idle connections does so after about the same time, which is learned from the first one.
bool showsRestart(IdleCloseHistory&, const IdleCloseOptions&, Millis life, bool toldWhy);

}
