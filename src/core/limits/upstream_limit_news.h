#pragma once

// What an instance tells its peers about the request limits that upstreams state, and the JSON form of it in heartbeats. Each
// instance passes on what it learned.

#include "core/ids.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhitch {

// An instance says that a share of a limit is its own.
struct ShareOwner {
    // Number of the share, from 0.
    std::size_t share = 0;
    InstanceId instance;
    Milliseconds age {};
};

// An upstream that has just started, or is cold again, takes so many requests per second from all instances together for so long.
struct ColdLimit {
    double requestsPerSecond = 0;
    Milliseconds timeLeft {};

    friend bool operator==(const ColdLimit&, const ColdLimit&) = default;
};

struct StatedLimit {
    // Identifies the upstream's process, by the id and the start time of the upstream.
    std::string process;
    // Requests per second from all instances together, also while it is cold; nullopt if the process stated none after it had stated one.
    std::optional<double> requestsPerSecond;
    // Time since the response that stated it.
    Milliseconds age {};
    std::vector<ShareOwner> owners;
    std::optional<ColdLimit> cold = std::nullopt;
};

nlohmann::json toJson(const std::vector<StatedLimit>&);
// Throws std::exception if the value does not have the form of toJson().
std::vector<StatedLimit> statedLimitsFrom(const nlohmann::json&);

}
