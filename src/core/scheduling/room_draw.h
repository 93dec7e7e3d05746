#pragma once

// Draws an upstream of a service by the room that each has left. Many instances choose by the same outdated reports, so if each took
// the upstream with the least load, all of them would send their next requests there.

#include <cstdint>
#include <random>
#include <vector>

namespace skylarkhitch {

// What is known of an upstream that may be drawn.
struct RoomCandidate {
    // Requests there, for each of its slots.
    double load = 0;
    std::int64_t slots = 1;
    bool crossesDomain = false;
};

// Returns the index of the upstream drawn; `candidates` must not be empty. An upstream without room is drawn only if hardly any other
// has some.
std::size_t drawByRoom(const std::vector<RoomCandidate>& candidates, std::mt19937_64& random);

}
