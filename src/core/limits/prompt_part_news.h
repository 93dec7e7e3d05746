#pragma once

// What an instance tells its peers about crashes of upstreams and the prompt parts that may have caused them, and the JSON form
// of it in heartbeats. Each instance passes on what it learned, so that the news reaches all of a large site. Times are ages,
// since instances do not share a clock.

#include "core/ids.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhitch {

// An upstream process to which connections were lost. It crashed, unless it was found running afterwards.
struct SuspectedCrash {
    // Identifies the process, by the id and the start time of the upstream.
    std::string process;
    // Time since the first connection was lost.
    Milliseconds age {};
    // Time since the process was last found running; nullopt if that was not seen.
    std::optional<Milliseconds> runningAge;
    // Shared parts of the prompts whose connections were lost.
    std::vector<std::string> parts;
    // Hashes of the ids of requests that lost their connection, two at most.
    std::vector<std::uint64_t> requests;
    // Number of parts, if there are more of them than are told at a time; else 0.
    std::size_t allParts = 0;
};

// A part with which an upstream completed a response, or outlived the start of one.
struct ServedPart {
    std::string part;
    Milliseconds age {};
};

// Parts of which at least one crashes upstreams. Requests with all of them are refused.
struct QuarantinedParts {
    std::vector<std::string> parts;
    // Time since the quarantine began, and since a request with all parts last arrived.
    Milliseconds age {};
    Milliseconds idle {};
    // Number of crashes that led to the quarantine.
    std::int64_t crashes = 0;
    // Requests that were sent nevertheless, to find out whether the part still crashes upstreams, and time since the last one.
    std::int64_t probes = 0;
    Milliseconds probeAge {};
    // Time since a request with some of the parts was last sent, to find out which of them crash upstreams; nullopt if none was.
    // Number of crashes of such requests. Both are told only if there are several parts.
    std::optional<Milliseconds> trialAge;
    std::int64_t trialCrashes = 0;
};

struct PromptPartNews {
    std::vector<SuspectedCrash> crashes;
    std::vector<ServedPart> served;
    std::vector<QuarantinedParts> quarantined;

    bool empty() const { return crashes.empty() && served.empty() && quarantined.empty(); }
};

nlohmann::json toJson(const PromptPartNews&);
// Throws std::exception if the value does not have the form of toJson().
PromptPartNews promptPartNewsFrom(const nlohmann::json&);

}
