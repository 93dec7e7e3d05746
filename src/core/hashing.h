#pragma once

// Hash functions (XXH3) that give the same result on every instance, for rendezvous hashing, traffic splits by session
// and request fingerprints.

#include "core/ids.h"

#include <string_view>
#include <vector>

namespace skylarkhitch {

// A 64-bit hash of two strings. The boundary between them matters: ("ab", "c") and ("a", "bc") hash differently.
std::uint64_t hashOf(std::string_view first, std::string_view second = {});

// Maps the strings deterministically to a number in [0, 1).
double unitHash(std::string_view first, std::string_view second = {});

// Rendezvous hashing: orders the members by decreasing hash of the key and the member; the first owns the key. Removing a
// member reassigns only the keys that it owned.
std::vector<InstanceId> rendezvousOrder(std::string_view key, const std::vector<InstanceId>& members);

}
