#include "core/rollout/version_evidence.h"

#include <algorithm>
#include <cmath>

namespace skylarkhitch {

namespace {

    // Weight of a new rating in the exponentially weighted mean.
    constexpr double ratingMeanGain = 0.02;
    // Lost connections to one upstream within this time count as one crash, since heartbeats report the same crash from the
    // other instances with a delay.
    constexpr Seconds crashWindow { 5 };

}

const char* healthName(VersionHealth health)
{
    switch (health) {
    case VersionHealth::Healthy:
        return "healthy";
    case VersionHealth::Quarantined:
        return "quarantined";
    case VersionHealth::Probation:
        break;
    }
    return "probation";
}

void VersionEvidence::configure(const ConfigurationPtr& configuration)
{
    for (const auto& [id, version] : configuration->versions) {
        auto [it, isNew] = m_states.try_emplace(id);
        if (isNew)
            it->second.meanRating = version.quality;
        it->second.quality = version.quality;
    }
}

void VersionEvidence::attemptEnded(const VersionId& id, const UpstreamId& upstream, AttemptEnd end, TimePoint now, Outbox& out)
{
    // A full or unreachable upstream is no evidence about the version it runs.
    if (end == AttemptEnd::NotSent || end == AttemptEnd::RefusedNotRun)
        return;
    if (end == AttemptEnd::Cut)
        return upstreamCrashed(id, upstream, now, out);
    bool succeeded = end == AttemptEnd::Completed;
    auto& counters = m_own[id];
    ++(succeeded ? counters.done : counters.failed);
    observe(id, succeeded ? 1 : 0, succeeded ? 0 : 1, now, out);
}

void VersionEvidence::upstreamCrashed(const VersionId& id, const UpstreamId& upstream, TimePoint now, Outbox& out)
{
    auto [it, isNew] = m_lastCrashes.try_emplace(upstream, now);
    if (!isNew && now < it->second + crashWindow)
        return;
    it->second = now;
    observe(id, 0, 1, now, out);
}

void VersionEvidence::rated(const VersionId& id, double rating, TimePoint now, Outbox& out)
{
    auto& counters = m_own[id];
    ++counters.rated;
    counters.ratingThousandths += std::llround(rating * 1000);
    observeRatings(id, 1, rating, now, out);
}

void VersionEvidence::learn(const Incarnation& from, const std::map<VersionId, VersionCounters>& counters, TimePoint now, Outbox& out)
{
    auto [peer, isNew] = m_peers.try_emplace(from.instance);
    // The first counters received from a peer's incarnation are the base for later differences; they are not new evidence.
    bool isBaseline = isNew || peer->second.incarnation != from.number;
    peer->second.incarnation = from.number;
    for (const auto& [id, n] : counters) {
        auto& last = peer->second.counters[id];
        if (!isBaseline) {
            observe(id, std::max<std::int64_t>(0, n.done - last.done), std::max<std::int64_t>(0, n.failed - last.failed), now, out);
            auto rated = std::max<std::int64_t>(0, n.rated - last.rated);
            observeRatings(id, rated, static_cast<double>(n.ratingThousandths - last.ratingThousandths) / 1000, now, out);
        }
        last = n;
    }
}

void VersionEvidence::observe(const VersionId& id, std::int64_t done, std::int64_t failed, TimePoint now, Outbox& out)
{
    auto& state = m_states[id];
    // Log-likelihood ratios of one success and of one failure, bad rate versus healthy rate.
    double success = std::log((1 - m_settings.badFailureRate) / (1 - m_settings.healthyFailureRate));
    double failure = std::log(m_settings.badFailureRate / m_settings.healthyFailureRate);
    auto sum = state.failureSum + static_cast<double>(done) * success + static_cast<double>(failed) * failure;
    state.failureSum = std::max(0.0, sum);
    if (state.health == VersionHealth::Probation)
        state.successfulProbes += done;
    updateHealth(id, state, now, out);
}

void VersionEvidence::observeRatings(const VersionId& id, std::int64_t n, double sum, TimePoint now, Outbox& out)
{
    if (n <= 0)
        return;
    auto& state = m_states[id];
    auto count = static_cast<double>(n);
    auto mean = sum / count;
    state.meanRating += (1 - std::pow(1 - ratingMeanGain, count)) * (mean - state.meanRating);
    // Log-likelihood ratio of the ratings under normal distributions: mean lower by ratingDrop versus mean as configured.
    double gain = m_settings.ratingDrop / (m_settings.ratingSpread * m_settings.ratingSpread);
    state.ratingSum = std::max(0.0, state.ratingSum + count * gain * (state.quality - m_settings.ratingDrop / 2 - mean));
    updateHealth(id, state, now, out);
}

void VersionEvidence::updateHealth(const VersionId& id, State& state, TimePoint now, Outbox& out)
{
    if (state.health != VersionHealth::Quarantined && std::max(state.failureSum, state.ratingSum) >= m_settings.threshold)
        return quarantine(id, state, now, out);
    if (state.health == VersionHealth::Probation && state.successfulProbes >= m_settings.successfulProbes) {
        state.health = VersionHealth::Healthy;
        state.quarantines = 0;
        out.push_back(StateChanged { "version", id.value, "healthy" });
    }
}

void VersionEvidence::quarantine(const VersionId& id, State& state, TimePoint now, Outbox& out)
{
    state.health = VersionHealth::Quarantined;
    state.quarantinedUntil = now + std::min(m_settings.initialQuarantine * (1 << std::min(state.quarantines, 10)), m_settings.maxQuarantine);
    ++state.quarantines;
    state.successfulProbes = 0;
    out.push_back(StateChanged { "version", id.value, "quarantined" });
}

bool VersionEvidence::mayRun(const VersionId& id, std::int64_t inFlight, TimePoint now, Outbox& out)
{
    auto it = m_states.find(id);
    if (it == m_states.end())
        return true;
    auto& state = it->second;
    if (state.health == VersionHealth::Healthy)
        return true;
    if (state.health == VersionHealth::Quarantined) {
        if (now < state.quarantinedUntil)
            return false;
        state.health = VersionHealth::Probation;
        // Start half-way to the threshold, so that a few probes detect a version that is still bad.
        state.failureSum = m_settings.threshold / 2;
        state.ratingSum = m_settings.threshold / 2;
        out.push_back(StateChanged { "version", id.value, "probation" });
    }
    return inFlight < m_settings.probesInFlight;
}

VersionHealth VersionEvidence::health(const VersionId& id) const
{
    auto it = m_states.find(id);
    return it == m_states.end() ? VersionHealth::Healthy : it->second.health;
}

double VersionEvidence::meanRating(const VersionId& id) const
{
    auto it = m_states.find(id);
    return it == m_states.end() ? 0.5 : it->second.meanRating;
}

}
