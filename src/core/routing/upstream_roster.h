#pragma once

// The upstreams that registered themselves, and which of them may get new work. Entries that vanish while the store is
// away are kept until the upstream had time to register again.

#include "core/ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhitch {

struct UpstreamEntry {
    UpstreamId id;
    ServiceId service;
    // ip:port
    std::string address;
    DomainId domain;
    // Release of the upstream's software.
    std::string release;
    // Requests that it works on at the same time.
    std::int64_t places = 1;
    // Takes new work; false while it is leaving.
    bool takesWork = true;
    // When this life of the upstream began; a higher number is a later life.
    std::int64_t born = 0;
    // Models that it has loaded, with the version of their weights.
    std::map<ModelId, std::int64_t> models;

    friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

// Lives of upstreams that take no more work whatever their entries say: another instance answered at their address. A later
// life under the same name is not meant.
class EndedLives {
public:
    void end(const UpstreamEntry&);
    bool contains(const UpstreamEntry&) const;

private:
    std::map<UpstreamId, std::int64_t> m_lastBorn;
};

class UpstreamRoster {
public:
    // Time from the store's return until an entry that is still missing counts as gone; the platform's pages say "about two seconds".
    static constexpr Milliseconds returnTime { 2200 };
    // An entry that vanishes this soon after the store was away may have lapsed with it.
    static constexpr Milliseconds awayMemory { 2500 };

    // An upstream registered or changed its entry. False if nothing changed but its counter.
    bool registered(const UpstreamEntry&);
    // An entry was removed; lapsed says that the store was away shortly before, so that the upstream may be alive.
    void removed(const UpstreamId&, bool mayHaveLapsed, TimePoint now);
    // The store is away now: removals wait until it is back.
    void storeAway(TimePoint now);
    // Ends the waits that are over; true if an upstream went.
    bool wake(TimePoint now);

    // Upstreams that may get new work.
    std::vector<UpstreamEntry> usable() const;
    const UpstreamEntry* find(const UpstreamId&) const;
    std::size_t size() const { return m_upstreams.size(); }

private:
    struct State {
        UpstreamEntry entry;
        // Set while the entry is missing.
        std::optional<TimePoint> goneAt;
    };
    std::map<UpstreamId, State> m_upstreams;
};

}
