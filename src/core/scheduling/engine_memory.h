#pragma once

// Estimates the output length of requests, and the tokens that running requests will need in an engine's key-value cache.

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <optional>

namespace skylarkhitch {

// Tokens that requests are expected to need in an engine's memory, and the variance of that number. Commitments of independent
// requests are added up.
struct MemoryCommitment {
    std::int64_t tokens = 0;
    std::int64_t variance = 0;

    friend bool operator==(const MemoryCommitment&, const MemoryCommitment&) = default;
};

MemoryCommitment operator+(const MemoryCommitment&, const MemoryCommitment&);
// The difference, in which neither number is negative.
MemoryCommitment operator-(const MemoryCommitment&, const MemoryCommitment&);

// Upper end of what is likely to be needed, in tokens.
std::int64_t likelyTokens(const MemoryCommitment&);
// Whether the request is unlikely to exceed the memory together with what is committed. A memory of 0 is unknown and has room.
bool fitsMemory(std::int64_t memoryTokens, const MemoryCommitment& committed, const MemoryCommitment& request);

// What a request says of its length.
struct RequestLength {
    std::string route;
    std::int64_t promptTokens = 0;
    // The most that the request may generate; 0 if it does not say.
    std::int64_t maxOutputTokens = 0;
    // The caller's estimate.
    std::optional<std::int64_t> outputHint;
};

class OutputLengths {
public:
    // Memory that the request will need by its end.
    MemoryCommitment commitment(const RequestLength&) const;
    // The request generated this many tokens until its regular end.
    void record(const RequestLength&, std::int64_t outputTokens);

private:
    struct RouteOutput {
        double mean = 0;
        double variance = 0;
        double samples = 0;
    };

    // Variance of the logarithm of the actual over the estimated length.
    double m_hintLogVariance = 0.25;
    absl::flat_hash_map<std::string, RouteOutput> m_routes;
};

}
