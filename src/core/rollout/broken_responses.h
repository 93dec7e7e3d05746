#pragma once

// Responses that broke off or did not arrive in time, and whose cause is not yet known. If the same upstream process responds
// to a later request, the failure counts against its release. If it does not respond again, the upstream is taken to have
// crashed, which does not count against the release.

#include "core/membership/fleet_heartbeat.h"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <vector>

namespace skylarkhitch {

class BrokenResponses {
public:
    // Records a broken response; `incarnation` identifies the upstream process, by upstream id and start time.
    void recordBroken(const std::string& incarnation, const ReleaseRoute&, TimePoint now);
    // Records that an incarnation responded to a request sent at `sentAt`. Removes its responses that broke before then and
    // returns their routes, which count against its release.
    std::vector<ReleaseRoute> recordSucceeded(const std::string& incarnation, TimePoint sentAt);
    // Drops responses that broke before this time.
    void forget(TimePoint before);

private:
    struct BrokenResponse {
        ReleaseRoute route;
        TimePoint at;
    };
    absl::flat_hash_map<std::string, std::vector<BrokenResponse>> m_brokenResponses;
};

}
