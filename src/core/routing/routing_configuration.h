#pragma once

// The active configuration on a platform that declares routes: which requests go to which services, and how.

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace skylarkhitch {

// Determines which requests of a route may be sent again after an attempt that may have run.
enum class RouteKind { Idempotent,
    NonIdempotent,
    Streaming };

struct WeightedService {
    ServiceId service;
    std::int64_t weight = 0;
};

struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    // A broken stream may be resumed at another upstream.
    bool resumable = false;
    // Requests need no API key.
    bool anonymous = false;
    // Time limit for the complete response.
    Milliseconds timeout { 1000 };
    // Target time to the response, or to the first event of a stream.
    Milliseconds targetLatency { 1000 };
    // Target for the longest gap between events of a stream.
    Milliseconds targetGap { 1000 };
    // Maximum number of upstreams that a request is sent to.
    std::int64_t maxAttempts = 1;
    // 0 is the most urgent.
    std::int64_t rank = 0;
    // Models that may serve requests, smallest first; empty if callers name the model.
    std::vector<ModelId> models;
    // Services that share the requests, by weight.
    std::vector<WeightedService> split;

    // Whether a request may be sent again after it may have run.
    bool isRetryable() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable); }
};

// Properties of a service whose upstreams are model engines.
struct EngineProfile {
    // Requests that one engine runs in a batch.
    std::int64_t slots = 0;
    // Capacity of one engine's key-value cache, in tokens.
    std::int64_t memoryTokens = 0;
    // Generated tokens in one event.
    std::int64_t tokensPerEvent = 1;
    // Cost per 1,000 generated tokens; a prompt token costs a quarter of a generated one.
    std::map<ModelId, double> modelCosts;
};

struct RoutedService {
    ServiceId name;
    std::string healthPath;
    // Maximum number of connections that one upstream accepts from all clients together.
    std::int64_t maxConnections = 0;
    // Set if the upstreams are model engines.
    std::optional<EngineProfile> engine;
    // Requests per second that a cold upstream takes from all instances together; 0 if its upstreams are never cold.
    double coldRequestsPerSecond = 0;
};

// Size and time limits for requests from callers.
struct CallerLimits {
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4194304;
    Milliseconds headerTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };

    bool operator==(const CallerLimits&) const = default;
};

// Owner of an API key.
struct ApiKeyOwner {
    TeamId team;
    // The team's own rank; overrides the route's rank if set.
    std::optional<std::int64_t> rank;
};

struct RoutingConfiguration {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceId, RoutedService> services;
    CallerLimits limits;
    // API keys are required only if the configuration declares teams.
    bool hasTeams = false;
    absl::flat_hash_map<std::string, ApiKeyOwner> keyOwners;

    // The route of this host with the longest matching path prefix, or null.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    // The service, or null.
    const RoutedService* findService(const ServiceId&) const;
    // The owner, or null if the key is unknown.
    const ApiKeyOwner* findKeyOwner(const std::string& key) const;
};

using RoutingConfigurationPtr = std::shared_ptr<const RoutingConfiguration>;

// Splits a route's requests over its services by weight. The same key (the session, or else the request id) always maps to the
// same service. A single service gets all requests whatever its weight; otherwise null if the weights add up to zero.
const ServiceId* chooseService(const Route&, std::string_view key);

}
