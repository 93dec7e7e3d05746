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
    // Not set for requests without a known API key. They are admitted if the route is anonymous or no team is configured.
    std::optional<TeamId> team;
    // 0 is the most urgent.
    std::int64_t rank = 0;
    // The earlier of the caller's and the route's time limits; a default applies if the caller specified none.
    TimePoint deadline {};
    // Hash of the API key, target, method and body. A request that its caller repeats unchanged has the same fingerprint
    // on every instance.
    std::string fingerprint;
};

// Sets the remaining fields from `request` and `configuration`, which must be set before the call; a null configuration
// results in NotConfigured. On an error, the fields resolved so far remain set, for use in logs and error responses.
ErrorKind admitRequest(AdmittedRequest&, TimePoint receivedAt);

}
