#pragma once

// Tells an outage of the store from a moment without news of it. Instances that do not follow the store go by the age of their hubs'
// copies, which one lost heartbeat makes look too old. A claimed outage reaches the whole site and keeps upstreams whose entries are
// missing, so a false one would send requests to upstreams that have left.

#include "core/ids.h"

#include <optional>

namespace skylarkhitch {

class StoreOutage {
public:
    // Shorter times without news are no outage. Hubs send heartbeats twice a second.
    static constexpr Milliseconds minDuration { 600 };

    // Records whether the store serves this instance, or others of which it hears. Returns whether there is an outage.
    bool update(bool isServing, TimePoint now)
    {
        if (isServing)
            m_since.reset();
        else if (!m_since)
            m_since = now;
        return m_since && now - *m_since >= minDuration;
    }

private:
    std::optional<TimePoint> m_since;
};

}
