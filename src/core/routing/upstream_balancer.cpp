#include "core/routing/upstream_balancer.h"

#include "core/hashing.h"
#include "core/routing/model_choice.h"
#include "core/scheduling/room_draw.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace skylarkhitch {

namespace {

    // The last prompt part that other requests may share, the most valuable one to find in an engine's cache, or null. The last
    // part of all is specific to the request or its session.
    const PromptPart* lastSharedPart(const RoutedRequest& request)
    {
        auto n = sharedPartCount(request);
        return n == 0 ? nullptr : &request.promptParts[n - 1];
    }

    // Tokens of the prompt parts that other requests may share.
    std::int64_t sharedTokens(const RoutedRequest& request)
    {
        std::int64_t sum = 0;
        for (std::size_t n = 0; n < sharedPartCount(request); ++n)
            sum += request.promptParts[n].tokens;
        return sum;
    }

    // Minimum work for a sample of the time per token, gain of the moving averages, and bounds of a sample in ms per token.
    constexpr std::int64_t minSampleWork = 1000;
    constexpr double averageGain = 0.05;
    constexpr double minMillisecondsPerToken = 0.005;
    constexpr double maxMillisecondsPerToken = 0.5;
    // Shortest time that work is taken to wait until it is read, and longest time since the last heartbeats that is counted.
    constexpr double minReadSeconds = 0.05;
    constexpr Milliseconds maxPeerWorkAge { 2000 };
    // Upstreams without own requests of which observations are told.
    constexpr std::size_t maxIdleObservations = 8;

    double toSeconds(Microseconds time) { return std::chrono::duration<double>(time).count(); }

    EngineProcess processOf(const UpstreamEntry& it) { return { it.id, it.service, it.born }; }

    RequestLength lengthOf(const std::string& route, const RoutedRequest& request)
    {
        return { route, request.promptTokens, request.maxOutputTokens, request.outputHint };
    }

}

const UpstreamEntry* UpstreamBalancer::choose(const UpstreamQuery& query, TimePoint now)
{
    m_lastPlacement = {};
    auto available = candidates(query, now);
    if (available.empty())
        return nullptr;
    if (query.mayCrash)
        return chooseLeastLoaded(available, now);
    return query.service->engine ? chooseEngine(query, available, now) : chooseByRoom(query, available, now);
}

std::vector<const UpstreamEntry*> UpstreamBalancer::candidates(const UpstreamQuery& query, TimePoint now) const
{
    std::vector<const UpstreamEntry*> available, ejected;
    for (const auto* it : query.allowed) {
        if (std::find(query.tried->begin(), query.tried->end(), it->id) != query.tried->end())
            continue;
        (isEjected(it->id, now) ? ejected : available).push_back(it);
    }
    // Fall back to ejected upstreams if there are no others.
    return available.empty() ? ejected : available;
}

const UpstreamEntry* UpstreamBalancer::chooseEngine(const UpstreamQuery& query, const std::vector<const UpstreamEntry*>& available, TimePoint now)
{
    const auto& request = *query.request;
    PlacementRequest placed;
    placed.promptTokens = request.promptTokens;
    placed.modelWeight = query.model.empty() ? 1 : modelWeight(*query.service->engine, query.model);
    placed.rank = query.rank;
    placed.timeLeft = query.timeLeft;
    placed.millisecondsPerToken = m_millisecondsPerToken;
    if (m_settings.usesEngineEstimates) {
        placed.memory = query.memory;
        placed.unreportedWork = unreportedWork(available, now);
        placed.drawPosition = m_draws.next(request.promptTokens);
        if (const auto* part = lastSharedPart(request))
            placed.unreportedShare = m_partDemand.record(part->id, request.promptTokens);
    }
    EnginePlacementSettings settings { .workPerRequest = m_settings.workPerRequest, .cachedTokenCredit = m_settings.affinityCredit, .crossDomainPenalty = m_settings.crossDomainPenalty };
    m_lastPlacement = placeOnEngine(engineCandidates(query, available, now), placed, settings, m_random);
    return m_lastPlacement.entry;
}

std::vector<EngineCandidate> UpstreamBalancer::engineCandidates(const UpstreamQuery& query, const std::vector<const UpstreamEntry*>& available, TimePoint now) const
{
    // Without knowledge of caches, the engine that is first for the shared part in rendezvous hashing is taken to have it.
    const auto* part = query.cachedTokens || query.promptCredits ? nullptr : lastSharedPart(*query.request);
    const auto* affinityTarget = !part ? nullptr : *std::max_element(available.begin(), available.end(), [&](const auto* a, const auto* b) { return hashOf(part->id, a->id.value) < hashOf(part->id, b->id.value); });
    std::vector<EngineCandidate> engines;
    engines.reserve(available.size());
    for (const auto* it : available) {
        auto work = sumOn(it->id);
        EngineCandidate engine;
        engine.entry = it;
        engine.requests = work.requests;
        engine.unreadWork = work.waitingTokens;
        engine.slots = it->slots;
        engine.crossesDomain = it->domain != query.ownDomain;
        if (it == affinityTarget)
            engine.cachedTokens = sharedTokens(*query.request);
        if (query.promptCredits) {
            auto credit = query.promptCredits->find(it->id);
            bool isKnown = credit != query.promptCredits->end();
            engine.cachedTokens = isKnown ? credit->second.outlook.cachedTokens : 0;
            engine.savedWork = isKnown ? credit->second.savedWork : 0;
        } else if (query.cachedTokens) {
            auto cached = query.cachedTokens->find(it->id);
            engine.cachedTokens = cached == query.cachedTokens->end() ? 0 : cached->second;
        }
        if (m_settings.usesEngineEstimates) {
            engine.speed = m_speeds.speed(it->id, now);
            engine.committed = work.committed;
            engine.memoryTokens = query.service->engine->memoryTokens;
        }
        engines.push_back(engine);
    }
    return engines;
}

double UpstreamBalancer::unreportedWork(const std::vector<const UpstreamEntry*>& engines, TimePoint now) const
{
    double unread = 0;
    for (const auto* it : engines) {
        auto peers = m_peerWork.find(it->id);
        unread += peers == m_peerWork.end() ? 0 : static_cast<double>(peers->second.waitingTokens);
    }
    // By Little's law, work arrives at the rate of the unread work over the time that it waits.
    auto wait = std::max(minReadSeconds, m_meanPromptWorkSeconds / std::max(1.0, m_meanPromptWork));
    auto age = std::min<Microseconds>(now - m_peerWorkAt, maxPeerWorkAge) + m_settings.peerWorkAge;
    return unread * toSeconds(age) / wait;
}

// The upstream on which the fewest other requests are lost if the request crashes it.
const UpstreamEntry* UpstreamBalancer::chooseLeastLoaded(const std::vector<const UpstreamEntry*>& available, TimePoint now) const
{
    return *std::min_element(available.begin(), available.end(), [&](const auto* a, const auto* b) { return loadPerSlot(*a, now) < loadPerSlot(*b, now); });
}

const UpstreamEntry* UpstreamBalancer::chooseByRoom(const UpstreamQuery& query, const std::vector<const UpstreamEntry*>& available, TimePoint now)
{
    std::vector<RoomCandidate> candidates;
    candidates.reserve(available.size());
    for (const auto* it : available)
        candidates.push_back({ loadPerSlot(*it, now), it->slots, it->domain != query.ownDomain });
    return available[drawByRoom(candidates, m_random)];
}

double UpstreamBalancer::loadPerSlot(const UpstreamEntry& entry, TimePoint now) const
{
    auto requests = requestsOn(entry.id);
    auto it = m_states.find(entry.id);
    if (it != m_states.end() && now - it->second.reportedAt <= m_settings.maxReportAge)
        requests = std::max(requests, it->second.report.running + it->second.report.waiting);
    return static_cast<double>(requests) / static_cast<double>(entry.slots);
}

MemoryCommitment UpstreamBalancer::commitment(const std::string& route, const RoutedRequest& request) const
{
    return m_outputs.commitment(lengthOf(route, request));
}

void UpstreamBalancer::sent(const UpstreamId& id, std::int64_t promptTokens, const MemoryCommitment& memory)
{
    auto& own = m_states[id].own;
    ++own.requests;
    own.waitingTokens += promptTokens;
    own.committed = own.committed + memory;
}

void UpstreamBalancer::begun(const UpstreamId& id, std::int64_t promptTokens)
{
    m_states[id].own.waitingTokens -= promptTokens;
}

void UpstreamBalancer::ended(const UpstreamId& id, std::int64_t promptTokens, bool promptWasRead, const MemoryCommitment& memory)
{
    auto& own = m_states[id].own;
    --own.requests;
    if (!promptWasRead)
        own.waitingTokens -= promptTokens;
    own.committed = own.committed - memory;
}

void UpstreamBalancer::recordFirstEvent(std::int64_t work, Milliseconds firstEvent)
{
    // With little work, the time to the first event is mostly network latency.
    if (work < minSampleWork)
        return;
    auto millisecondsPerToken = static_cast<double>(firstEvent.count()) / static_cast<double>(work);
    m_millisecondsPerToken += averageGain * (std::clamp(millisecondsPerToken, minMillisecondsPerToken, maxMillisecondsPerToken) - m_millisecondsPerToken);
}

void UpstreamBalancer::recordFirstEvent(const UpstreamEntry& upstream, const ModelId& model, const FirstEvent& event, TimePoint now)
{
    auto work = event.workBefore + event.promptWork;
    recordFirstEvent(work, toMilliseconds(event.time));
    auto promptWork = static_cast<double>(event.promptWork);
    m_meanPromptWork += averageGain * (promptWork - m_meanPromptWork);
    m_meanPromptWorkSeconds += averageGain * (promptWork * toSeconds(event.time) - m_meanPromptWorkSeconds);
    m_speeds.recordFirstEvent(processOf(upstream), model, event, now);
}

void UpstreamBalancer::recordGap(const UpstreamEntry& upstream, const ModelId& model, Microseconds gap, TimePoint now)
{
    auto occupancy = static_cast<double>(requestsOn(upstream.id)) / static_cast<double>(std::max<std::int64_t>(1, upstream.slots));
    m_speeds.recordGap(processOf(upstream), model, occupancy, gap, now);
}

void UpstreamBalancer::recordOutput(const std::string& route, const RoutedRequest& request, std::int64_t tokens)
{
    m_outputs.record(lengthOf(route, request), tokens);
}

void UpstreamBalancer::recordPrompt(const std::string& route, std::int64_t tokens)
{
    auto length = static_cast<double>(tokens);
    m_meanPromptTokens += averageGain * (length - m_meanPromptTokens);
    auto& mean = m_routePromptTokens.try_emplace(route, length).first->second;
    mean += averageGain * (length - mean);
}

double UpstreamBalancer::promptRatio(const std::string& route) const
{
    auto it = m_routePromptTokens.find(route);
    return it == m_routePromptTokens.end() ? 1 : it->second / m_meanPromptTokens;
}

double UpstreamBalancer::meanWork(const std::vector<const UpstreamEntry*>& engines) const
{
    std::int64_t sum = 0;
    for (const auto* it : engines)
        sum += workOn(it->id);
    return static_cast<double>(sum) / static_cast<double>(std::max<std::size_t>(1, engines.size()));
}

void UpstreamBalancer::reported(const UpstreamId& id, const ReportedLoad& load, TimePoint now)
{
    auto& state = m_states[id];
    state.report = load;
    state.reportedAt = now;
}

void UpstreamBalancer::reported(const UpstreamEntry& upstream, const ReportedLoad& load, TimePoint now)
{
    reported(upstream.id, load, now);
    if (load.pace)
        m_speeds.recordPace(processOf(upstream), *load.pace, now);
}

void UpstreamBalancer::succeeded(const UpstreamId& id)
{
    auto& state = m_states[id];
    state.consecutiveFailures = 0;
    state.ejections = 0;
}

bool UpstreamBalancer::failed(const UpstreamId& id, TimePoint now)
{
    auto& state = m_states[id];
    // All requests that one crash ends fail at the same time.
    if (state.ejectedUntil > now)
        return false;
    if (++state.consecutiveFailures < m_settings.failuresToEject)
        return false;
    auto time = m_settings.initialEjection * (1 << std::min(state.ejections, 8));
    state.ejectedUntil = now + std::min(time, m_settings.maxEjection);
    ++state.ejections;
    state.consecutiveFailures = 0;
    return true;
}

void UpstreamBalancer::setPeerWork(absl::flat_hash_map<UpstreamId, UpstreamWork> work, TimePoint now)
{
    absl::flat_hash_map<UpstreamId, SpeedObservations> speeds;
    for (const auto& [id, it] : work) {
        if (it.speed.weight > 0)
            speeds[id] = it.speed;
    }
    m_speeds.setPeers(std::move(speeds), now - m_settings.peerWorkAge);
    m_peerWork = std::move(work);
    m_peerWorkAt = now;
}

std::map<UpstreamId, UpstreamWork> UpstreamBalancer::ownWork(TimePoint now) const
{
    std::map<UpstreamId, UpstreamWork> work;
    for (const auto& [id, it] : m_states) {
        if (it.own.requests > 0)
            work[id] = it.own;
    }
    if (!m_settings.usesEngineEstimates)
        return work;
    std::vector<std::pair<double, UpstreamId>> idle;
    auto observations = m_speeds.own(now);
    for (const auto& [id, it] : observations) {
        if (work.contains(id))
            work[id].speed = it;
        else
            idle.emplace_back(it.weight, id);
    }
    auto n = std::min(idle.size(), maxIdleObservations);
    std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(n), idle.end(), std::greater<>());
    for (std::size_t i = 0; i < n; ++i)
        work[idle[i].second].speed = observations[idle[i].second];
    return work;
}

void UpstreamBalancer::keepOnly(const std::vector<UpstreamEntry>& entries)
{
    absl::flat_hash_set<UpstreamId> known;
    for (const auto& it : entries)
        known.insert(it.id);
    m_speeds.keepOnly(known);
    absl::erase_if(m_states, [&](const auto& it) { return !known.contains(it.first) && it.second.own.requests == 0; });
}

bool UpstreamBalancer::isEjected(const UpstreamId& id, TimePoint now) const
{
    auto it = m_states.find(id);
    return it != m_states.end() && it->second.ejectedUntil > now;
}

std::int64_t UpstreamBalancer::ownRequestsOn(const UpstreamId& id) const
{
    auto it = m_states.find(id);
    return it == m_states.end() ? 0 : it->second.own.requests;
}

UpstreamWork UpstreamBalancer::sumOn(const UpstreamId& id) const
{
    UpstreamWork sum;
    auto own = m_states.find(id);
    if (own != m_states.end())
        add(sum, own->second.own);
    auto peers = m_peerWork.find(id);
    if (peers != m_peerWork.end())
        add(sum, peers->second);
    return sum;
}

std::int64_t UpstreamBalancer::requestsOn(const UpstreamId& id) const { return sumOn(id).requests; }

std::int64_t UpstreamBalancer::workOn(const UpstreamId& id) const
{
    auto sum = sumOn(id);
    return sum.waitingTokens + sum.requests * m_settings.workPerRequest;
}

MemoryCommitment UpstreamBalancer::committedOn(const UpstreamId& id) const { return sumOn(id).committed; }

}
