#pragma once

// The configuration of a site as the core reads it: plain aggregates, filled by config/parse_configuration.h and
// never changed afterwards. A new revision is a new Configuration.

#include "core/ids.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkhitch {

// A rank of work: its place in the order, its targets and what it is worth.
struct Rank {
    RankId id;
    // 0 is the most urgent.
    std::int64_t order = 0;
    Milliseconds firstTokenTarget { 1000 };
    // Used when a caller states no deadline.
    Milliseconds deadline { 30000 };
    double worth = 1;
    // Part of the capacity that a flood of other ranks can not take, 0 to 1.
    double guaranteedShare = 0.1;
};

// One version of a model, with its price and the quality its maker states.
struct Version {
    VersionId id;
    ModelId model;
    // Millionths of the currency unit for one token.
    CostMicros costPerInputToken = 1;
    CostMicros costPerOutputToken = 2;
    // Expected rating, 0 to 1; the prior until ratings come in.
    double quality = 0.5;
    bool withdrawn = false;
};

// A roll-out of one version of a model over another.
struct Rollout {
    ModelId model;
    VersionId from;
    VersionId to;
    // Part of the sessions that run on the new version, 0 to 1.
    double share = 0;
    bool held = false;
};

// A model: its versions, of which the current one serves new sessions.
struct Model {
    ModelId id;
    VersionId current;
};

// Models to try in order, cheap ones first, until an answer meets the quality target.
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
    // Weight against other teams of the same rank.
    double share = 1;
    // The most urgent rank that the team may ask for.
    std::string highestRank;
};

// A plain service behind the system.
struct Service {
    ServiceId id;
    // Calls that may be repeated, as "METHOD /path-prefix"; every other call runs at most once.
    std::vector<std::string> idempotentCalls;
    CostMicros costPerCall = 0;
    std::string rank;
};

// A back end: a model engine that serves one version, or an instance of a service.
struct Upstream {
    UpstreamId id;
    std::string address;
    DomainId domain;
    VersionId version;
    ServiceId service;
    // Requests that it can run at the same time.
    std::int64_t slots = 8;
    // Generated tokens a second for one request, before any load report.
    double tokensPerSecond = 50;
    bool checksFencing = false;
};

// Bounds and periods that hold on every instance.
struct Limits {
    std::int64_t maxBodyBytes = 1 << 20;
    std::int64_t maxQueuedRequests = 2000;
    // Retries as a share of successes.
    double retryShare = 0.1;
    // Share of answers that is sent to the rating service.
    double ratedShare = 0.1;
    Milliseconds attemptTimeout { 60000 };
    Milliseconds claimTimeout { 2000 };
    Seconds lookupWindow { 86400 };
    Milliseconds entryKeepFor { 5000 };
    Seconds crashMemory { 600 };
};

// Everything that operators write, at one revision.
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
