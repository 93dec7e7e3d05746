#pragma once

// Identifiers, time and money as the core uses them. Every identifier is a type of its own, so that a team can
// not be passed where a model is expected; every time is a std::chrono type.

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace skylarkhitch {

// A textual identifier that only compares with its own kind.
template <typename Tag>
struct StrongId {
    std::string value;

    bool empty() const { return value.empty(); }
    friend bool operator==(const StrongId&, const StrongId&) = default;
    friend auto operator<=>(const StrongId&, const StrongId&) = default; // NOLINT(modernize-use-nullptr): a false report on <=>
    template <typename H>
    friend H AbslHashValue(H state, const StrongId& id)
    {
        return H::combine(std::move(state), id.value);
    }
};

using TeamId = StrongId<struct TeamTag>;
using ModelId = StrongId<struct ModelTag>;
using VersionId = StrongId<struct VersionTag>;
using CascadeId = StrongId<struct CascadeTag>;
using RankId = StrongId<struct RankTag>;
using ServiceId = StrongId<struct ServiceTag>;
using UpstreamId = StrongId<struct UpstreamTag>;
using InstanceId = StrongId<struct InstanceTag>;
using DomainId = StrongId<struct DomainTag>;
using SessionId = StrongId<struct SessionTag>;
using RequestId = StrongId<struct RequestTag>;

// The instance that wrote a record, in one of its lives.
struct Incarnation {
    InstanceId instance;
    std::uint64_t number = 0;
    friend bool operator==(const Incarnation&, const Incarnation&) = default;
    friend auto operator<=>(const Incarnation&, const Incarnation&) = default;
};

// One try of a request on one upstream; unique within one incarnation of an instance.
enum class AttemptId : std::uint64_t {};

// One call to the key-value service; unique within one incarnation of an instance.
enum class StoreCallId : std::uint64_t {};

// Grows by one with each accepted configuration; 0 means that none was seen yet.
using Revision = std::uint64_t;

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// Wall-clock time to the microsecond. The core never reads a clock: each event brings its time.
using TimePoint = std::chrono::sys_time<Microseconds>;

// Money in millionths of the site's currency unit.
using CostMicros = std::int64_t;

inline Milliseconds toMilliseconds(Microseconds us)
{
    return std::chrono::duration_cast<Milliseconds>(us);
}

}
