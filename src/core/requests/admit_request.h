#pragma once

// Whether the configuration in force lets a request in, and on what terms: its route and service, whose it is, its rank and
// the time that it has. Nothing here is sent or counted.

#include "core/error_kind.h"
#include "core/requests/routed_request.h"
#include "core/routing/routing_configuration.h"

namespace skylarkhitch {

struct AdmittedRequest {
    RoutedRequest request;
    // Keeps route and service.
    RoutingConfigurationPtr configuration;
    const Route* route = nullptr;
    const RoutedService* service = nullptr;
    // Nothing on routes that ask for no key, where none came.
    std::optional<TeamId> team;
    std::int64_t rank = 0;
    // What the caller and the route allow, whichever ends first.
    TimePoint deadline {};
    // The same for every send of a request, by its caller and at any instance.
    std::string fingerprint;
};

// Fills in what follows from the request and the configuration; both are there, but the configuration may be null. What was
// found before an error stays: logs and refusals use it.
ErrorKind admitRequest(AdmittedRequest&, TimePoint receivedAt);

}
