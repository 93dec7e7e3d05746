#pragma once

// Estimates until when the link of an instance is full of what it passes on to peers. Connections that do not open meanwhile, since
// their packets wait behind that, do not show that the link is lost.

#include "core/ids.h"

#include <algorithm>

namespace skylarkhitch {

class LinkLoad {
public:
    // The rate of the link; 0 if it is not known, and then the link never counts as full.
    explicit LinkLoad(double megabitsPerSecond)
        : m_bytesPerSecond(megabitsPerSecond * 1e6 / 8)
    {
    }

    void sent(std::size_t bytes, TimePoint now)
    {
        if (m_bytesPerSecond > 0)
            m_fullUntil = std::max(m_fullUntil, now) + Milliseconds(static_cast<std::int64_t>(1000 * static_cast<double>(bytes) / m_bytesPerSecond));
    }
    TimePoint fullUntil() const { return m_fullUntil; }

private:
    double m_bytesPerSecond = 0;
    TimePoint m_fullUntil {};
};

}
