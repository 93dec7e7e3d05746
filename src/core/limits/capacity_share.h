#pragma once

// Computes how many of a pool's slots this instance may use. Every instance computes its share independently from the same
// heartbeats: each rank first receives its demand up to its guaranteed share, and the remainder is allocated in order of
// urgency. Within a rank, teams share by weighted max-min fairness (Bertsekas and Gallager, 1992), and a team's allocation is
// divided among the instances in proportion to its demand at each. The instances together therefore fill the upstreams without
// overcommitting them, and a team gains nothing by spreading its requests over many instances.

#include "core/membership/peer_message.h"

namespace skylarkhitch {

// One team's demand in one rank at one instance, with the configured shares of the rank and the team.
struct ShareDemand {
    bool isOwn = false;
    // 0 is the most urgent.
    std::int64_t rankOrder = 0;
    // Fraction of the capacity that is reserved for the rank, 0 to 1.
    double guaranteedShare = 0;
    TeamId team;
    // Weight relative to other teams of the same rank.
    double teamShare = 1;
    // Number of waiting and running requests.
    double demand = 0;
};

// This instance's number of slots out of `capacity`, as a fractional number; `instances` includes this one. Capacity beyond the
// total demand is divided evenly among the instances.
double shareOfCapacity(double capacity, const std::vector<ShareDemand>&, std::size_t instances);

}
