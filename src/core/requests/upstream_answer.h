#pragma once

// What an upstream's answer says beside its body, decoded from the wire.

#include "core/ids.h"
#include "core/requests/header_field.h"

#include <optional>

namespace skylarkhitch {

// An upstream's own count of its requests. It is stale when it arrives.
struct ReportedLoad {
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t places = 0;
};

struct UpstreamAnswer {
    int status = 0;
    std::string reason;
    // Which request it answers; empty if it does not say.
    RequestId answers;
    // The upstream vouches that it did not begin the request.
    bool notRun = false;
    // Another instance has this address now.
    bool wrongInstance = false;
    bool isEventStream = false;
    // How long the upstream keeps an idle connection; nothing if it does not say.
    std::optional<Seconds> keepsIdle;
    std::optional<ReportedLoad> load;
    // The model's own estimate that its answer is good, 0 to 1.
    std::optional<double> confidence;
    // Fields for the caller, in their order.
    HeaderFields passedOn;
};

}
