#pragma once

// Identifier, time and cost types of the core. Each kind of identifier is a distinct type, so that a team cannot be
// passed where a model is expected; times and durations are std::chrono types.

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace skylarkhitch {

// A string identifier that can only be compared with identifiers of the same kind.
template <typename Tag>
struct StrongId {
    std::string value;

    bool empty() const { return value.empty(); }
    friend bool operator==(const StrongId&, const StrongId&) = default;
    friend auto operator<=>(const StrongId&, const StrongId&) = default; // NOLINT(modernize-use-nullptr): false positive on <=>
    template <typename H>
    friend H AbslHashValue(H state, const StrongId& id)
    {
        return H::combine(std::move(state), id.value);
    }
};

using TeamId = StrongId<struct TeamTag>;
using ModelId = StrongId<struct ModelTag>;
// A version of a model, which runs on upstreams of its own.
using VersionId = StrongId<struct VersionTag>;
// A cascade: models that are tried in order until a response meets the quality target.
using CascadeId = StrongId<struct CascadeTag>;
// A rank: a priority class of requests.
using RankId = StrongId<struct RankTag>;
// A service that requests are forwarded to. The services of routes include model engines.
using ServiceId = StrongId<struct ServiceTag>;
// An upstream: a model engine that runs one version, or an instance of a service.
using UpstreamId = StrongId<struct UpstreamTag>;
// An instance of this router.
using InstanceId = StrongId<struct InstanceTag>;
// A failure domain of instances and upstreams.
using DomainId = StrongId<struct DomainTag>;
using SessionId = StrongId<struct SessionTag>;
using RequestId = StrongId<struct RequestTag>;

// One run of an instance: the number changes with each restart of its process.
struct Incarnation {
    InstanceId instance;
    std::uint64_t number = 0;
    friend bool operator==(const Incarnation&, const Incarnation&) = default;
    friend auto operator<=>(const Incarnation&, const Incarnation&) = default; // NOLINT(modernize-use-nullptr): false positive on <=>
};

// One attempt to run a request on one upstream; unique within an incarnation of an instance.
enum class AttemptId : std::uint64_t {};

// One call to the key-value store; unique within an incarnation of an instance.
enum class StoreCallId : std::uint64_t {};

// Configuration revision, incremented by each accepted configuration; 0 if none has been seen yet.
using Revision = std::uint64_t;

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// Wall-clock time in microseconds. The core never reads a clock: each event carries its timestamp.
using TimePoint = std::chrono::sys_time<Microseconds>;

// Amount in millionths of the site's currency unit.
using CostMicros = std::int64_t;

// Rounds toward zero.
inline Milliseconds toMilliseconds(Microseconds us)
{
    return std::chrono::duration_cast<Milliseconds>(us);
}

}
