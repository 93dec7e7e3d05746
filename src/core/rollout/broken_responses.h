#pragma once

// Incomplete answers that have not yet been attributed. If the same upstream process answers a later request, the failure
// counts against its release. If it never answers again, the upstream crashed, which does not count against the release.

#include "core/membership/fleet_heartbeat.h"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <vector>

namespace skylarkhitch {

class BrokenResponses {
public:
    // Records an incomplete answer; `incarnation` identifies the upstream process, by upstream id and start time.
    void recordBroken(const std::string& incarnation, const ReleaseRoute&, TimePoint now);
    // Records that an incarnation answered a request sent at `sentAt`. Removes and returns the routes of its answers that
    // broke off before then, which count against its release.
    std::vector<ReleaseRoute> recordSucceeded(const std::string& incarnation, TimePoint sentAt);
    // Drops answers that broke off before this time.
    void forget(TimePoint before);

private:
    struct BrokenResponse {
        ReleaseRoute route;
        TimePoint at;
    };
    absl::flat_hash_map<std::string, std::vector<BrokenResponse>> m_brokenResponses;
};

}
