#pragma once

// An exponentially decaying sum of amounts, and the rate that it stands for.

#include "core/ids.h"

namespace skylarkhitch {

class DecayingSum {
public:
    // Time constant of the decay.
    static constexpr Seconds decayTime { 15 };

    void add(double amount, TimePoint now);
    // The sum as of now.
    double value(TimePoint now) const;
    // Amount per second. Soon after the first amount the rate is taken from the time since then, a second at least.
    double perSecond(TimePoint now) const;

private:
    double m_value = 0;
    TimePoint m_at;
    TimePoint m_startedAt;
};

}
