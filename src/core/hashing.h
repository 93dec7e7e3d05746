#pragma once

// Hashes that every instance computes alike: rendezvous placement, session shares and body fingerprints (XXH3).

#include "core/ids.h"

#include <string_view>
#include <vector>

namespace skylarkhitch {

// A 64-bit hash of the parts; the parts are kept apart, so that ("ab","c") differs from ("a","bc").
std::uint64_t hashOf(std::string_view first, std::string_view second = {});

// A number in [0,1) that depends only on the parts.
double unitHash(std::string_view first, std::string_view second = {});

// Orders the members for a key by highest random weight; the first is the owner. Losing one member moves only the
// keys that it owned.
std::vector<InstanceId> rendezvousOrder(std::string_view key, const std::vector<InstanceId>& members);

}
