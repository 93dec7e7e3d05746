#include "core/scheduling/engine_speed.h"

#include <algorithm>
#include <cmath>

namespace skylarkhitch {

namespace {

    // Weight of a speed of 1 that is assumed without observations.
    constexpr double priorWeight = 0.5;
    // Observations fade by 1/e in this time, and proportionally faster if they weigh more than fullWeight.
    constexpr Milliseconds fadeTime { 8000 };
    constexpr double fullWeight = 8;
    // Many gaps are seen for each first event, and those of one stream resemble each other. Queues that are not known well make the time
    // to the first event say less of the speed than gaps do.
    constexpr double gapWeight = 0.1;
    constexpr double firstEventWeight = 0.25;
    // A sample differs from the estimate by at most a factor of two, so that single outliers have little effect.
    constexpr double maxLogDeviation = 0.7;
    // Weight of the samples from which an expectation is used, and the minimum gain of its moving average.
    constexpr double minExpectationSamples = 1;
    constexpr double expectationGain = 0.02;
    // With less work, the time to the first event is mostly network latency.
    constexpr std::int64_t minWork = 1000;
    // Observations that weigh less are not sent to peers.
    constexpr double minSentWeight = 0.05;
    // Services and models with expectations of their own, since callers may name models. All others of a service share one.
    constexpr std::size_t maxExpectations = 256;
    // A reported pace fades by 1/e in this time, since paces change many times a second.
    constexpr Milliseconds paceFadeTime { 300 };
    constexpr double usualPaceGain = 0.05;
    constexpr std::int64_t minPace = 20;
    constexpr std::int64_t maxPace = 1000;

    double ratio(Microseconds time, Microseconds unit)
    {
        return static_cast<double>(time.count()) / static_cast<double>(unit.count());
    }

    double logOf(Microseconds time)
    {
        return std::log(static_cast<double>(std::max<std::int64_t>(1, time.count())));
    }

    // Factor by which observations of this weight have faded.
    double fading(TimePoint since, TimePoint now, double weight)
    {
        auto age = std::max(now - since, Microseconds(0));
        return std::exp(-ratio(age, fadeTime) * std::max(1.0, weight / fullWeight));
    }

}

void EngineSpeeds::recordFirstEvent(const EngineProcess& engine, const ModelId& model, const FirstEvent& event, TimePoint now)
{
    auto work = event.workBefore + event.promptWork;
    if (event.workBefore < 0 || event.promptWork <= 0 || work < minWork || event.time <= Microseconds(0))
        return;
    // Levels of work, each four times the one before.
    auto level = static_cast<std::size_t>(std::log2(static_cast<double>(work) / minWork) / 2);
    auto& expectation = expectationsOf(engine, model).firstEvent[std::min(level, loadLevels - 1)];
    // Only the request's own share of the work is certain; the rest may have been read since, and other work may have come.
    // The variance of a sample grows with the square of that rest.
    auto certain = static_cast<double>(event.promptWork) / static_cast<double>(work);
    record(engine, expectation, logOf(event.time) - std::log(static_cast<double>(work)), firstEventWeight * certain * certain, now);
}

void EngineSpeeds::recordGap(const EngineProcess& engine, const ModelId& model, double occupancy, Microseconds gap, TimePoint now)
{
    if (gap <= Microseconds(0) || !std::isfinite(occupancy))
        return;
    auto level = static_cast<std::size_t>(std::clamp(occupancy, 0.0, 1.0) * (loadLevels - 1));
    record(engine, expectationsOf(engine, model).gap[level], logOf(gap), gapWeight, now);
}

void EngineSpeeds::recordPace(const EngineProcess& engine, std::int64_t percent, TimePoint now)
{
    auto* state = stateOf(engine);
    if (!state || percent <= 0)
        return;
    state->logPace = std::log(static_cast<double>(std::clamp(percent, minPace, maxPace)) / 100);
    state->usualLogPace += usualPaceGain * (state->logPace - state->usualLogPace);
    state->pacedAt = now;
}

void EngineSpeeds::record(const EngineProcess& engine, Expectation& expectation, double logTime, double weight, TimePoint now)
{
    auto* state = stateOf(engine);
    if (!state)
        return;
    auto sum = total(engine.upstream, now);
    auto logSpeed = sum.logSum / (sum.weight + priorWeight);
    if (expectation.samples >= minExpectationSamples) {
        auto sample = std::clamp(expectation.logTime - logTime, logSpeed - maxLogDeviation, logSpeed + maxLogDeviation);
        state->own = faded(*state, peersOf(engine.upstream, now).weight, now);
        state->own.logSum += weight * sample;
        state->own.weight += weight;
        state->updatedAt = now;
    }
    // Corrected by the engine's speed, so that the expectation is that of an engine with the speed 1, whichever engines this instance
    // uses most.
    expectation.samples += weight;
    auto gain = std::max(expectationGain * weight, weight / expectation.samples);
    expectation.logTime += gain * (logTime + logSpeed - expectation.logTime);
}

EngineSpeeds::State* EngineSpeeds::stateOf(const EngineProcess& engine)
{
    auto& state = m_states.try_emplace(engine.upstream, State { engine.born, {}, {}, 0, 0, {} }).first->second;
    if (engine.born < state.born)
        return nullptr;
    if (engine.born > state.born)
        state = State { engine.born, {}, {}, 0, 0, {} };
    return &state;
}

EngineSpeeds::Expectations& EngineSpeeds::expectationsOf(const EngineProcess& engine, const ModelId& model)
{
    bool isTracked = m_expectations.size() < maxExpectations || m_expectations.contains({ engine.service, model });
    return m_expectations[{ engine.service, isTracked ? model : ModelId {} }];
}

void EngineSpeeds::setPeers(absl::flat_hash_map<UpstreamId, SpeedObservations> peers, TimePoint observedAt)
{
    m_peers = std::move(peers);
    m_peersObservedAt = observedAt;
}

absl::flat_hash_map<UpstreamId, SpeedObservations> EngineSpeeds::own(TimePoint now) const
{
    absl::flat_hash_map<UpstreamId, SpeedObservations> observations;
    for (const auto& [id, it] : m_states) {
        auto own = faded(it, peersOf(id, now).weight, now);
        if (own.weight >= minSentWeight)
            observations[id] = own;
    }
    return observations;
}

void EngineSpeeds::keepOnly(const absl::flat_hash_set<UpstreamId>& known)
{
    absl::erase_if(m_states, [&](const auto& it) { return !known.contains(it.first); });
}

double EngineSpeeds::lastingSpeed(const UpstreamId& id, TimePoint now) const
{
    auto sum = total(id, now);
    return std::clamp(std::exp(sum.logSum / (sum.weight + priorWeight)), minSpeed, maxSpeed);
}

double EngineSpeeds::speed(const UpstreamId& id, TimePoint now) const
{
    auto speed = lastingSpeed(id, now);
    auto it = m_states.find(id);
    if (it == m_states.end() || it->second.pacedAt == TimePoint {})
        return speed;
    auto age = std::max(now - it->second.pacedAt, Microseconds(0));
    auto slowness = (it->second.logPace - it->second.usualLogPace) * std::exp(-ratio(age, paceFadeTime));
    return std::clamp(speed * std::exp(-slowness), minSpeed, maxSpeed);
}

double EngineSpeeds::weight(const UpstreamId& id, TimePoint now) const { return total(id, now).weight; }

SpeedObservations EngineSpeeds::total(const UpstreamId& id, TimePoint now) const
{
    auto sum = peersOf(id, now);
    auto it = m_states.find(id);
    if (it == m_states.end())
        return sum;
    auto own = faded(it->second, sum.weight, now);
    return { sum.logSum + own.logSum, sum.weight + own.weight };
}

SpeedObservations EngineSpeeds::peersOf(const UpstreamId& id, TimePoint now) const
{
    auto it = m_peers.find(id);
    if (it == m_peers.end())
        return {};
    auto factor = fading(m_peersObservedAt, now, it->second.weight);
    return { it->second.logSum * factor, it->second.weight * factor };
}

// Observations fade by the weight of all, so that the estimate rests on the same number of recent samples however many instances
// share them.
SpeedObservations EngineSpeeds::faded(const State& state, double peerWeight, TimePoint now) const
{
    auto factor = fading(state.updatedAt, now, state.own.weight + peerWeight);
    return { state.own.logSum * factor, state.own.weight * factor };
}

}
