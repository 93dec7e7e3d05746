#pragma once

// Registry of the upstreams and whether they accept new work. Entries that disappear around an outage of the store are kept
// until the upstream has had time to register again. Upstreams that an older copy of the store lists as ready although they had
// left are held back.

#include "core/routing/upstream_departures.h"

#include <set>

namespace skylarkhitch {

struct UpstreamEntry {
    UpstreamId id;
    ServiceId service;
    // ip:port
    std::string address;
    DomainId domain;
    // Release of the upstream's software.
    std::string release;
    // Number of requests that it runs concurrently.
    std::int64_t slots = 1;
    // Accepts new work; false while the upstream is draining.
    bool takesWork = true;
    // Start time of this incarnation of the upstream; a higher number is a later incarnation.
    std::int64_t born = 0;
    // Loaded models, with the version of their weights.
    std::map<ModelId, std::int64_t> models;
    // Until then it is cold and takes few requests; TimePoint {} if it is not cold.
    TimePoint coldUntil {};

    friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

// Identifies one process of an upstream, so that what is known of it does not apply to a later one.
std::string processName(const UpstreamEntry&);

// Incarnations of upstreams that must get no more work even if their entries are still present, because they leave or another upstream
// named itself at their address. Ending one also ends the earlier incarnations with the same id. Later incarnations with the same
// id are not affected.
class EndedIncarnations {
public:
    void end(const UpstreamEntry&);
    bool contains(const UpstreamEntry&) const;

private:
    std::map<UpstreamId, std::int64_t> m_lastEnded;
};

class UpstreamRegistry {
public:
    // Time from the return of the store until the upstreams whose entries expired in the outage have registered again. The
    // platform documentation says "about two seconds".
    static constexpr Milliseconds reregistrationTime { 2200 };
    // The end of a cold time is stated anew with each write; a difference below this is none.
    static constexpr Milliseconds coldTolerance { 500 };

    enum class Change { None,
        // The entry is new, differs or was missing.
        Updated,
        // The upstream has left since the entry was written.
        HeldBack };

    // Adds or updates an entry.
    Change registered(const UpstreamEntry&, const EntryVersion&, TimePoint now);
    // The upstream wrote its entry again without a change. Returns false if the entry is unknown or held back, so that
    // registered() must decide.
    bool renewed(const UpstreamId&, std::int64_t writes, std::int64_t revision, TimePoint now);
    // The entry is missing from the store. The upstream is removed at once if it is draining, or if missing entries mean that
    // upstreams are gone from a time that has passed. Before that time the entry may have expired because of an outage of the store,
    // so the upstream is kept until removeExpired().
    void removed(const UpstreamId&, TimePoint missingMeansGoneFrom, TimePoint now);
    // Removes the upstreams that were kept and whose entries are still missing, if that time has passed; true if there were any.
    bool removeExpired(TimePoint missingMeansGoneFrom, TimePoint now);
    // Departures of the upstreams that are held back.
    std::vector<UpstreamDeparture> heldBack() const;
    // Takes over what a peer holds back. Returns true if an upstream gets no more work for it.
    bool learn(const UpstreamDeparture&, TimePoint now);

    // Upstreams that accept new work, including those whose entries are missing.
    std::vector<UpstreamEntry> usable() const;
    const UpstreamEntry* find(const UpstreamId&) const;
    std::size_t size() const { return m_upstreams.size(); }

private:
    struct State {
        UpstreamEntry entry;
        EntryVersion version;
        // The entry is missing from the store.
        bool isMissing = false;
    };

    // Ends the work of an upstream whose entry is outdated.
    void holdBack(const UpstreamId&);

    std::map<UpstreamId, State> m_upstreams;
    UpstreamDepartures m_departures;
    std::set<UpstreamId> m_heldBack;
};

}
