#pragma once

// How many places of a pool this instance may fill. Every instance works it out alone from the same heartbeats: each
// rank first gets its guaranteed share, the rest goes by urgency; within a rank teams share by weighted max-min fairness
// (Bertsekas and Gallager, 1992), and a team's part is split over the instances by its demand there. So instances
// together fill the upstreams without a queue of their making, and a team gains nothing by asking at many instances.

#include "core/membership/peer_message.h"

namespace skylarkhitch {

// One team's demand in one rank at one instance, with what the configuration says of rank and team.
struct ShareDemand {
    bool isOwn = false;
    std::int64_t rankOrder = 0;
    double guaranteedShare = 0;
    TeamId team;
    double teamShare = 1;
    // Requests waiting and running.
    double demand = 0;
};

// Places out of `capacity` for this instance; what nobody asks for is spread evenly over the instances.
double shareOfCapacity(double capacity, const std::vector<ShareDemand>&, std::size_t instances);

}
