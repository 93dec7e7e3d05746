#pragma once

// Estimates the speed of each engine relative to the mean of its service, from the times to first events and the gaps between events
// that this instance and its peers observe, and from the pace that the engine reports.

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <array>

namespace skylarkhitch {

// Observations of an engine's speed: the weighted sum of logarithms of speeds, and the sum of the weights. Observations of several
// instances are added up.
struct SpeedObservations {
    double logSum = 0;
    double weight = 0;

    friend bool operator==(const SpeedObservations&, const SpeedObservations&) = default;
};

// One process of an engine. A later process of the same upstream has a higher start time.
struct EngineProcess {
    UpstreamId upstream;
    ServiceId service;
    std::int64_t born = 0;
};

// Work and time of a first event. Work is in prompt tokens of the most expensive model.
struct FirstEvent {
    // Of the engine before the request was sent, as far as known then.
    std::int64_t workBefore = 0;
    // Of the request's prompt.
    std::int64_t promptWork = 0;
    // From sending the request.
    Microseconds time {};
};

class EngineSpeeds {
public:
    static constexpr double minSpeed = 0.2;
    static constexpr double maxSpeed = 3;

    void recordFirstEvent(const EngineProcess&, const ModelId&, const FirstEvent&, TimePoint now);
    // Time between two events of a stream, while the engine ran about this share of the requests that it can run at once.
    void recordGap(const EngineProcess&, const ModelId&, double occupancy, Microseconds gap, TimePoint now);
    // Time that work takes on the engine's machine now, in percent of the usual time.
    void recordPace(const EngineProcess&, std::int64_t percent, TimePoint now);

    // Replaces the observations of all other instances, which are of the given time.
    void setPeers(absl::flat_hash_map<UpstreamId, SpeedObservations>, TimePoint observedAt);
    // Own observations that are recent enough to matter to others.
    absl::flat_hash_map<UpstreamId, SpeedObservations> own(TimePoint now) const;
    // Drops the state of all other upstreams.
    void keepOnly(const absl::flat_hash_set<UpstreamId>&);

    // The speed from all observations, between minSpeed and maxSpeed; 1 if there are none.
    double lastingSpeed(const UpstreamId&, TimePoint now) const;
    // The same with the reported pace of this moment.
    double speed(const UpstreamId&, TimePoint now) const;
    // Weight of all observations of the engine; a gap weighs a tenth.
    double weight(const UpstreamId&, TimePoint now) const;

private:
    struct State {
        std::int64_t born = 0;
        SpeedObservations own;
        TimePoint updatedAt {};
        // Logarithms of the reported pace, the last and the usual one.
        double logPace = 0;
        double usualLogPace = 0;
        TimePoint pacedAt {};
    };
    // Expected times under similar load: moving averages of logarithms.
    struct Expectation {
        double logTime = 0;
        double samples = 0;
    };
    static constexpr std::size_t loadLevels = 5;
    struct Expectations {
        std::array<Expectation, loadLevels> firstEvent;
        std::array<Expectation, loadLevels> gap;
    };

    // The state of this process, or null if a later one is known.
    State* stateOf(const EngineProcess&);
    Expectations& expectationsOf(const EngineProcess&, const ModelId&);
    // Compares the logarithm of a time with what is expected, and updates both.
    void record(const EngineProcess&, Expectation&, double logTime, double weight, TimePoint now);
    // Own observations and those of peers, as faded by now.
    SpeedObservations total(const UpstreamId&, TimePoint now) const;
    SpeedObservations peersOf(const UpstreamId&, TimePoint now) const;
    SpeedObservations faded(const State&, double peerWeight, TimePoint now) const;

    absl::flat_hash_map<UpstreamId, State> m_states;
    absl::flat_hash_map<UpstreamId, SpeedObservations> m_peers;
    TimePoint m_peersObservedAt {};
    // By service and model.
    absl::flat_hash_map<std::pair<ServiceId, ModelId>, Expectations> m_expectations;
};

}
