#pragma once

// Answers that broke off, until it is known whose fault that was: an upstream that answers later requests broke this one
// by itself, which speaks against its release; one that is never heard of again crashed, with whatever release it had.

#include "core/membership/fleet_beat.h"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <vector>

namespace skylarkhitch {

class BrokenAnswers {
public:
    // An upstream's answer broke off; `life` names the upstream and the start of its process.
    void broke(const std::string& life, const ReleaseRoute&, TimePoint now);
    // A life answered a request that was sent at a time: what it broke before is its own doing, and is returned once.
    std::vector<ReleaseRoute> worked(const std::string& life, TimePoint sentAt);
    // Drops what broke before a time.
    void forget(TimePoint before);

private:
    struct Broken {
        ReleaseRoute route;
        TimePoint at;
    };
    absl::flat_hash_map<std::string, std::vector<Broken>> m_broken;
};

}
