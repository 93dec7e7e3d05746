#pragma once

// Responses that broke off or did not arrive in time, or that callers did not wait for, and whose cause is not yet known. If the
// same upstream process responds to a later request, the failure or the waiting time counts against its release. If it does not
// respond again, the upstream is taken to have crashed, which does not count against the release.

#include "core/membership/fleet_heartbeat.h"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <vector>

namespace skylarkhitch {

// A request whose caller left before the response, or before the first event of a stream.
struct AbandonedRequest {
    ReleaseRoute route;
    Milliseconds waited {};
    TimePoint at;
};

class BrokenResponses {
public:
    // Records a broken response; `incarnation` identifies the upstream process, by upstream id and start time.
    void recordBroken(const std::string& incarnation, const ReleaseRoute&, TimePoint now);
    // Records that an incarnation responded to a request sent at `sentAt`. Removes its responses that broke before then and
    // returns their routes, which count against its release.
    std::vector<ReleaseRoute> recordSucceeded(const std::string& incarnation, TimePoint sentAt);
    // The same for requests whose callers left.
    void recordAbandoned(const std::string& incarnation, const AbandonedRequest&);
    std::vector<AbandonedRequest> takeAbandoned(const std::string& incarnation, TimePoint sentAt);
    // Drops responses that broke and requests that were abandoned before this time.
    void forget(TimePoint before);

private:
    struct BrokenResponse {
        ReleaseRoute route;
        TimePoint at;
    };
    absl::flat_hash_map<std::string, std::vector<BrokenResponse>> m_brokenResponses;
    absl::flat_hash_map<std::string, std::vector<AbandonedRequest>> m_abandonedRequests;
};

}
