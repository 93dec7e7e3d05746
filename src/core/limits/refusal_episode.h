#pragma once

// Tells when refusals begin and when they have ended, from a counter that is looked at from time to time. Refusals that follow each
// other within a few seconds are one episode.

#include "core/ids.h"

#include <cstdint>

namespace skylarkhitch {

class RefusalEpisode {
public:
    // Time without a refusal after which an episode has ended.
    static constexpr Milliseconds calmTime { 2000 };

    enum class Change { None,
        Began,
        Ended };

    // Takes the number of refusals so far and returns what it changes.
    Change update(std::int64_t refusals, TimePoint now)
    {
        bool hasNew = refusals > m_refusals;
        if (hasNew) {
            m_refusals = refusals;
            m_lastAt = now;
        }
        if (hasNew != m_isRefusing && (hasNew || now - m_lastAt >= calmTime)) {
            m_isRefusing = hasNew;
            return hasNew ? Change::Began : Change::Ended;
        }
        return Change::None;
    }

private:
    std::int64_t m_refusals = 0;
    TimePoint m_lastAt {};
    bool m_isRefusing = false;
};

}
