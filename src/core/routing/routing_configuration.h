#pragma once

// The configuration in force on a platform that declares routes: which requests go to which services, and how.

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace skylarkhitch {

// What may be repeated on a route.
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
    // A broken stream may go on at another upstream.
    bool resumable = false;
    // No key is needed.
    bool anonymous = false;
    // Longest time that a caller is kept waiting for the whole answer.
    Milliseconds timeout { 1000 };
    // Time within which an answer, or the first event of a stream, is worth most.
    Milliseconds targetLatency { 1000 };
    // Longest pause between events of a stream that is still on time.
    Milliseconds targetGap { 1000 };
    // Upstreams that may get one request.
    std::int64_t maxAttempts = 1;
    // 0 is the most urgent.
    std::int64_t rank = 0;
    // Models that may answer, the smallest first; empty if callers name the model.
    std::vector<ModelId> models;
    std::vector<WeightedService> split;

    // Whether a request that may have run can be sent again.
    bool mayRepeat() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable); }
};

// A service whose upstreams are model engines.
struct EngineProfile {
    // Requests that one engine batches.
    std::int64_t places = 0;
    // Tokens that fit into one engine's memory.
    std::int64_t memoryTokens = 0;
    // Answer tokens in one event.
    std::int64_t tokensPerEvent = 1;
    // Cost for 1,000 generated tokens; prompt tokens count a quarter.
    std::map<ModelId, double> modelCosts;
};

struct RoutedService {
    ServiceId name;
    std::string healthPath;
    // Connections that one upstream takes from all callers together.
    std::int64_t maxConnections = 0;
    std::optional<EngineProfile> engine;
};

// Bounds on what a caller may send, and how slowly.
struct CallerLimits {
    std::size_t headBytes = 16384;
    std::size_t bodyBytes = 4194304;
    Milliseconds headTime { 3000 };
    Milliseconds idleTime { 15000 };
};

// Whose key it is.
struct KeyHolder {
    TeamId team;
    // Replaces the route's rank if the team has one of its own.
    std::optional<std::int64_t> rank;
};

struct RoutingConfiguration {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceId, RoutedService> services;
    CallerLimits limits;
    // Keys are asked for only where the configuration has teams.
    bool hasTeams = false;
    absl::flat_hash_map<std::string, KeyHolder> holders;

    // The route of the host with the longest prefix that begins the path, or null.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    const RoutedService* findService(const ServiceId&) const;
    const KeyHolder* findHolder(const std::string& key) const;
};

using RoutingConfigurationPtr = std::shared_ptr<const RoutingConfiguration>;

// Splits a route's requests by weight; a key (a session, or else the request's id) always takes the same side.
const ServiceId* chooseService(const Route&, std::string_view key);

}
