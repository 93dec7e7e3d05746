#pragma once

// Which upstreams are known to be leaving or gone, so that an older copy of the store, which lists them as ready, does not
// bring them back. Within an era of the store a later entry is always newer than what was known before.

#include "core/ids.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace skylarkhitch {

// The version of an upstream's entry in the store.
struct EntryVersion {
    // Start time of the incarnation; a higher number is a later incarnation.
    std::int64_t born = 0;
    // Number of times that the incarnation has written its entry; 0 if the entry does not say.
    std::int64_t writes = 0;
    // As in store_revision.h.
    std::int64_t revision = 0;
};

// The last entry that was known of an upstream when it began to drain, or before its entry was removed.
struct UpstreamDeparture {
    UpstreamId id;
    EntryVersion last;
    // It was draining, which an incarnation does not take back. Otherwise its entry was removed; if it lives, it writes again.
    bool isDraining = false;
};

nlohmann::json toJson(const std::vector<UpstreamDeparture>&);
// Throws std::exception if the value does not have the form of toJson().
std::vector<UpstreamDeparture> upstreamDeparturesFrom(const nlohmann::json&);

class UpstreamDepartures {
public:
    // Departures are forgotten after this time. Copies of the store are some seconds old.
    static constexpr Seconds retention { 300 };

    void record(const UpstreamDeparture&, TimePoint now);
    // Records what a peer told. Returns false if a later departure of the upstream is known.
    bool learn(const UpstreamDeparture&, TimePoint now);
    // Whether an entry that lists the upstream as ready comes from a copy that is older than its departure.
    bool isOutdated(const UpstreamId&, const EntryVersion&) const;
    // The upstream is back.
    void erase(const UpstreamId& id) { m_departures.erase(id); }
    const UpstreamDeparture* find(const UpstreamId&) const;
    void forget(TimePoint now);

private:
    struct Recorded {
        UpstreamDeparture departure;
        TimePoint at;
    };
    std::map<UpstreamId, Recorded> m_departures;
};

}
