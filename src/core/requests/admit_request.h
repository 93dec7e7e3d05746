#pragma once

// Admission of a request under the active configuration: resolves its route, service, team, rank and deadline. Has no
// side effects: nothing is sent and no counter changes.

#include "core/error_kind.h"
#include "core/requests/routed_request.h"
#include "core/routing/routing_configuration.h"

namespace skylarkhitch {

struct AdmittedRequest {
    RoutedRequest request;
    // Owns the objects that route and service point to.
    RoutingConfigurationPtr configuration;
    const Route* route = nullptr;
    const RoutedService* service = nullptr;
    // Empty for requests without a known key, on routes or sites that do not require one.
    std::optional<TeamId> team;
    std::int64_t rank = 0;
    // The earlier of the caller's and the route's time limit.
    TimePoint deadline {};
    // Identical for every retry of a request by its caller and on every instance.
    std::string fingerprint;
};

// Fills in the remaining fields from request and configuration, which the caller has set; the configuration may be null.
// On an error, the fields resolved so far remain set, for use in logs and error responses.
ErrorKind admitRequest(AdmittedRequest&, TimePoint receivedAt);

}
