#pragma once

// Tells a caller which entry instance to use: rendezvous hashing over the live instances, own failure domain first,
// skipping instances that carry clearly more than their share (bounded loads; Mirrokni et al., 2018).

#include "core/membership/membership.h"

namespace skylarkhitch {

struct EntryQuestion {
    // What should land on the same instance: the session, or else the team.
    std::string key;
    DomainId domain;
};

struct EntryAnswer {
    std::string address;
    std::vector<std::string> alternatives;
};

// `selfLeaving` takes this instance out of the answer; it is only given when no other is left.
EntryAnswer chooseEntry(const Membership&, const EntryQuestion&, bool selfLeaving, std::int64_t ownInFlight);

}
