#pragma once

// Chooses the entry instance for a caller by rendezvous hashing over the live instances. Instances in the caller's failure
// domain are preferred, and instances with a load well above the mean come last (bounded loads; Mirrokni et al., 2018).

#include "core/membership/membership.h"

namespace skylarkhitch {

struct EntryQuery {
    // Requests with the same key prefer the same instance: the session, or else the team.
    std::string key;
    DomainId domain;
};

struct EntryResponse {
    std::string address;
    std::vector<std::string> alternatives;
};

// With `selfLeaving`, this instance is excluded unless it is the only one.
EntryResponse chooseEntry(const Membership&, const EntryQuery&, bool selfLeaving, std::int64_t ownInFlight);

}
