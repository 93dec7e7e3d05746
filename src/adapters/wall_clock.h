#pragma once

// The time of day, for what other instances and later lives of this one read; everything else goes by a clock that never jumps.

#include "core/ids.h"

namespace skylarkhitch {

inline TimePoint wallNow()
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::system_clock::now());
}

// The number of a life that begins now: a later life of an instance has a higher one, since it starts later.
inline std::uint64_t lifeNumber()
{
    return static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
}

}
