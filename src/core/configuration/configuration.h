#pragma once

// The configuration of a site as plain aggregates. config/parse_configuration.h fills them and they are immutable
// afterwards; a new revision is a new Configuration.

#include "core/ids.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkhitch {

// A priority class for requests: its urgency, its latency targets, the value of its requests and its guaranteed share of
// the capacity.
struct Rank {
    RankId id;
    // 0 is the most urgent.
    std::int64_t order = 0;
    Milliseconds firstTokenTarget { 1000 };
    // Used if a request has no deadline of its own.
    Milliseconds deadline { 30000 };
    double worth = 1;
    // Fraction of the capacity that is reserved for this rank when other ranks overload the site, 0 to 1.
    double guaranteedShare = 0.1;
};

// One version of a model, with its price and the quality that its vendor states.
struct Version {
    VersionId id;
    ModelId model;
    // Price of one token, in millionths of the currency unit.
    CostMicros costPerInputToken = 1;
    CostMicros costPerOutputToken = 2;
    // Expected rating, 0 to 1; used as the prior until there are ratings.
    double quality = 0.5;
    bool withdrawn = false;
};

// A rollout that replaces one version of a model by another.
struct Rollout {
    ModelId model;
    VersionId from;
    VersionId to;
    // Fraction of the sessions that run on the new version, 0 to 1.
    double share = 0;
    bool held = false;
};

// A model and the version that serves its new sessions.
struct Model {
    ModelId id;
    VersionId current;
};

// Models to try in order, as a rule cheapest first, until a response meets the quality target. A request may skip steps
// whose expected cost is higher than that of a later one.
struct Cascade {
    CascadeId id;
    std::vector<std::string> steps;
    double qualityTarget = 0.7;
};

// A customer of the system.
struct Team {
    TeamId id;
    std::vector<std::string> keyDigests;
    std::vector<std::string> models;
    std::vector<std::string> versions;
    std::vector<std::string> cascades;
    std::vector<std::string> services;
    // Weight relative to other teams of the same rank.
    double share = 1;
    // The most urgent rank that the team may request.
    std::string highestRank;
};

// A service behind the system that is not a model engine.
struct Service {
    ServiceId id;
    // Idempotent calls, as "METHOD /path-prefix". They may be retried; every other call runs at most once.
    std::vector<std::string> idempotentCalls;
    CostMicros costPerCall = 0;
    std::string rank;
};

// A backend: a model engine that serves one version, or an instance of a service.
struct Upstream {
    UpstreamId id;
    std::string address;
    DomainId domain;
    VersionId version;
    ServiceId service;
    // Maximum number of concurrent requests.
    std::int64_t slots = 8;
    // Generated tokens per second for one request; the estimate until the first load report.
    double tokensPerSecond = 50;
    bool checksFencing = false;
};

// Limits and durations that apply to every instance.
struct Limits {
    std::int64_t maxBodyBytes = 1 << 20;
    std::int64_t maxQueuedRequests = 2000;
    // Retries allowed, as a fraction of successful requests.
    double retryShare = 0.1;
    // Fraction of responses that are sent to the rating service.
    double ratedShare = 0.1;
    Milliseconds attemptTimeout { 60000 };
    Milliseconds claimTimeout { 2000 };
    Seconds lookupWindow { 86400 };
    Milliseconds entryKeepFor { 5000 };
    Seconds crashMemory { 600 };
};

// The complete configuration at one revision.
struct Configuration {
    Revision revision = 0;
    std::map<RankId, Rank> ranks;
    std::map<ModelId, Model> models;
    std::map<VersionId, Version> versions;
    std::map<CascadeId, Cascade> cascades;
    std::map<TeamId, Team> teams;
    std::map<ServiceId, Service> services;
    std::map<UpstreamId, Upstream> upstreams;
    std::map<ModelId, Rollout> rollouts;
    Limits limits;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

}
