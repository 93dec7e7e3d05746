#pragma once

// Wall-clock time, for timestamps that other instances or later incarnations of this one read. All other times, except
// those in log lines, advance with a steady clock and do not jump.

#include "core/ids.h"

namespace skylarkhitch {

inline TimePoint wallNow()
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::system_clock::now());
}

// Returns the number of an incarnation that starts now. It is derived from the wall clock, so that later incarnations of an
// instance have higher numbers.
inline std::uint64_t newIncarnationNumber()
{
    return static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
}

}
