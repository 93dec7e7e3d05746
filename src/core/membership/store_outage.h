#pragma once

// Tells an outage of the store from a moment without news of it. Instances that do not follow the store go by the age of their hubs'
// copies, which one lost heartbeat makes look too old. A claimed outage reaches the whole site and keeps upstreams whose entries are
// missing, so a false one would send requests to upstreams that have left. An instance that is cut off may hear only others that
// are cut off as well, and claim one; those that the store served all the while know better.

#include "core/ids.h"

#include <optional>

namespace skylarkhitch {

class StoreOutage {
public:
    // Shorter times without news are no outage. Hubs send heartbeats twice a second.
    static constexpr Milliseconds minDuration { 600 };
    // Time in which an instance hears all that it can reach.
    static constexpr Milliseconds minHearingTime { 1000 };

    // Records whether the store serves this instance, or others of which it hears. Returns whether there is an outage.
    bool update(bool isServing, TimePoint now)
    {
        if (isServing) {
            m_since.reset();
            m_servingSince = m_servingSince.value_or(now);
        } else {
            m_servingSince.reset();
            m_since = m_since.value_or(now);
        }
        return m_since && now - *m_since >= minDuration;
    }
    // Whether this instance may tell others of an outage, given whether it hears most of its peers: it must have heard them for some
    // time, since one that returns from a cut may first hear those that were cut off as well.
    bool mayClaim(bool hearsMostPeers, TimePoint now)
    {
        m_hearsPeersSince = hearsMostPeers ? std::optional(m_hearsPeersSince.value_or(now)) : std::nullopt;
        return m_hearsPeersSince && now - *m_hearsPeersSince >= minHearingTime;
    }
    // This instance was paused, or the store came back from a copy: what it knows of the store begins now.
    void restart(TimePoint now) { m_servingSince = now; }
    // Whether an outage that others saw then was none, since the store has served all the while.
    bool refutes(TimePoint outageAt) const { return m_servingSince && outageAt > *m_servingSince + minDuration; }

private:
    std::optional<TimePoint> m_since;
    std::optional<TimePoint> m_servingSince;
    std::optional<TimePoint> m_hearsPeersSince;
};

}
