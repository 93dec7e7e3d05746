#pragma once

// Chooses the entry instance for a caller by rendezvous hashing over the live instances. Instances in the caller's failure
// domain are preferred, and instances with a load well above the mean come last (bounded loads; Mirrokni et al., 2018).

#include "core/membership/membership.h"

namespace skylarkhitch {

struct EntryQuery {
    // Requests with the same key prefer the same instance: the session, or else the team.
    std::string key;
    // The caller's domain; empty if unknown.
    DomainId domain;
};

struct EntryResponse {
    std::string address;
    // Addresses of other instances, in order of preference.
    std::vector<std::string> alternatives;
};

// With `selfLeaving`, this instance is excluded unless it is the only one. `ownInFlight` is the number of this instance's
// requests in flight.
EntryResponse chooseEntry(const Membership&, const EntryQuery&, bool selfLeaving, std::int64_t ownInFlight);

}
