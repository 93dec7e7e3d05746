#pragma once

// Chooses the hubs of a failure domain: the first of its instances, in an order that all instances agree on, that answer. Those on
// larger machines come first, since a hub has more to do the larger its domain is. One that does not answer is passed over for a while, so that instances with different links may use different hubs.

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <vector>

namespace skylarkhitch {

class HubChoice {
public:
    // Hubs of a domain.
    static constexpr std::size_t hubsPerDomain = 2;
    // A hub answers twice a second. One from which nothing came for this long is passed over.
    static constexpr Milliseconds answerTime { 1300 };
    // How long it is passed over, unless it is heard from before.
    static constexpr Milliseconds retryTime { 5000 };

    struct Instance {
        std::string address;
        // Hundredths of a processor core that it has; 0 if unknown.
        std::int64_t capacity = 0;
        // It is not known to be dead. Those that are come after all others.
        bool isLive = true;
        // When a message came from it; TimePoint {} if none did.
        TimePoint lastHeardAt {};
    };

    // Returns the hubs among the instances, in their order. The order in which the instances are given does not matter.
    std::vector<Instance> choose(const std::vector<Instance>&, TimePoint now);
    // Whether an instance with this address and capacity comes before the second of these hubs, and so is a hub of its domain itself.
    static bool isAmongHubs(const Instance&, const std::vector<Instance>& hubs);

private:
    struct Candidate {
        TimePoint askedAt;
        TimePoint passedOverUntil;
    };
    absl::flat_hash_map<std::string, Candidate> m_candidates;
};

}
