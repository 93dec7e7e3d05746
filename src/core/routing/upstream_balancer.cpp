#include "core/routing/upstream_balancer.h"

#include "core/hashing.h"
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

    // Random jitter in prompt tokens, so that instances that see the same work choose different engines.
    constexpr double workJitter = 200;
    // Penalty for an engine without a free slot, as extra work.
    constexpr double fullEnginePenalty = 20000;
    // Minimum work for a sample of the time per token, gain of the moving averages, and bounds of a sample in ms per token.
    constexpr std::int64_t minSampleWork = 1000;
    constexpr double averageGain = 0.05;
    constexpr double minMillisecondsPerToken = 0.005;
    constexpr double maxMillisecondsPerToken = 0.5;

}

const UpstreamEntry* UpstreamBalancer::choose(const UpstreamQuery& query, TimePoint now)
{
    auto available = candidates(query, now);
    if (available.empty())
        return nullptr;
    if (query.mayCrash)
        return chooseLeastLoaded(available, now);
    return query.service->engine ? chooseEngine(query, available) : chooseByRoom(query, available, now);
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

// Chooses the engine with the least work. The engine with the affinity for the prompt's shared prefix, found by rendezvous
// hashing, gets a credit for the tokens that it probably has cached.
const UpstreamEntry* UpstreamBalancer::chooseEngine(const UpstreamQuery& query, const std::vector<const UpstreamEntry*>& available)
{
    const auto* part = lastSharedPart(*query.request);
    auto affinityKey = part ? part->id : query.request->id.value;
    const auto* affinityTarget = *std::max_element(available.begin(), available.end(), [&](const auto* a, const auto* b) { return hashOf(affinityKey, a->id.value) < hashOf(affinityKey, b->id.value); });
    auto cachedCredit = static_cast<double>(sharedTokens(*query.request)) * m_settings.affinityCredit;
    std::uniform_real_distribution<double> jitter(0, workJitter);
    const UpstreamEntry* best = nullptr;
    double bestWork = 0;
    for (const auto* it : available) {
        auto work = static_cast<double>(workOn(it->id)) + jitter(m_random) - (part && it == affinityTarget ? cachedCredit : 0);
        work += it->domain == query.ownDomain ? 0 : static_cast<double>(m_settings.crossDomainPenalty);
        // Without a free slot, the request would wait until another one ends.
        if (requestsOn(it->id) >= it->slots)
            work += fullEnginePenalty;
        if (!best || work < bestWork) {
            best = it;
            bestWork = work;
        }
    }
    return best;
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

void UpstreamBalancer::sent(const UpstreamId& id, std::int64_t promptTokens)
{
    auto& own = m_states[id].own;
    ++own.requests;
    own.waitingTokens += promptTokens;
}

void UpstreamBalancer::begun(const UpstreamId& id, std::int64_t promptTokens)
{
    m_states[id].own.waitingTokens -= promptTokens;
}

void UpstreamBalancer::ended(const UpstreamId& id, std::int64_t promptTokens, bool promptWasRead)
{
    auto& own = m_states[id].own;
    --own.requests;
    if (!promptWasRead)
        own.waitingTokens -= promptTokens;
}

void UpstreamBalancer::recordFirstEvent(std::int64_t work, Milliseconds firstEvent)
{
    // With little work, the time to the first event is mostly network latency.
    if (work < minSampleWork)
        return;
    auto millisecondsPerToken = static_cast<double>(firstEvent.count()) / static_cast<double>(work);
    m_millisecondsPerToken += averageGain * (std::clamp(millisecondsPerToken, minMillisecondsPerToken, maxMillisecondsPerToken) - m_millisecondsPerToken);
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

void UpstreamBalancer::setPeerWork(absl::flat_hash_map<UpstreamId, UpstreamWork> work)
{
    m_peerWork = std::move(work);
}

std::map<UpstreamId, UpstreamWork> UpstreamBalancer::ownWork() const
{
    std::map<UpstreamId, UpstreamWork> work;
    for (const auto& [id, it] : m_states) {
        if (it.own.requests > 0)
            work[id] = it.own;
    }
    return work;
}

void UpstreamBalancer::keepOnly(const std::vector<UpstreamEntry>& entries)
{
    absl::flat_hash_set<UpstreamId> known;
    for (const auto& it : entries)
        known.insert(it.id);
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

std::int64_t UpstreamBalancer::requestsOn(const UpstreamId& id) const
{
    auto peers = m_peerWork.find(id);
    return ownRequestsOn(id) + (peers == m_peerWork.end() ? 0 : peers->second.requests);
}

std::int64_t UpstreamBalancer::workOn(const UpstreamId& id) const
{
    auto own = m_states.find(id);
    auto peers = m_peerWork.find(id);
    auto tokens = (own == m_states.end() ? 0 : own->second.own.waitingTokens) + (peers == m_peerWork.end() ? 0 : peers->second.waitingTokens);
    return tokens + requestsOn(id) * m_settings.workPerRequest;
}

}
