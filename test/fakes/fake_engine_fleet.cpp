#include "fakes/fake_engine_fleet.h"

#include "core/hashing.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace skylarkhitch::test {

namespace {

    // Work of the response, and time that it takes after the first event.
    constexpr double responseWork = 150;
    constexpr Milliseconds responseTime { 1500 };
    constexpr Milliseconds heartbeatPeriod { 250 };
    // As in UpstreamBalancerSettings.
    constexpr double fixedCredit = 3;
    constexpr double crossDomainPenalty = 1500;
    constexpr double fullPenalty = 20000;

}

FakeEngineFleet::FakeEngineFleet(FakeFleetSettings settings)
    : m_settings(settings)
    , m_engines(settings.engines)
    , m_view(settings.engines)
{
    for (std::size_t n = 0; n < settings.engines; ++n) {
        UpstreamEntry entry;
        entry.id = { absl::StrCat("engine-", n) };
        entry.domain = { absl::StrCat("domain-", n % settings.domains) };
        entry.slots = settings.slots;
        entry.born = 1;
        m_entries.push_back(entry);
    }
    for (std::size_t n = 0; n < settings.instances; ++n)
        m_instances.push_back({ PromptPlacement({ absl::StrCat("domain-", n % settings.domains) }), std::vector<Seen>(settings.engines) });
    setFleet(TimePoint {});
}

void FakeEngineFleet::setFleet(TimePoint now)
{
    std::vector<std::string> processes;
    for (const auto& it : m_entries)
        processes.push_back(processName(it));
    for (auto& it : m_instances)
        it.placement.setFleet({ m_settings.engines, m_settings.instances }, processes, now);
}

void FakeEngineFleet::restart(std::size_t engine, TimePoint now)
{
    ++m_entries[engine].born;
    m_engines[engine] = {};
    setFleet(now);
}

std::vector<PromptCandidate> FakeEngineFleet::memories() const
{
    std::vector<PromptCandidate> memories;
    for (const auto& it : m_entries)
        memories.push_back({ &it, m_settings.memoryTokens });
    return memories;
}

bool FakeEngineFleet::isInOtherDomain(std::size_t instance, std::size_t engine) const
{
    return instance % m_settings.domains != engine % m_settings.domains;
}

std::int64_t FakeEngineFleet::runningOn(std::size_t engine, TimePoint now)
{
    auto& running = m_engines[engine].running;
    std::erase_if(running, [&](const auto& it) { return it.end <= now; });
    return static_cast<std::int64_t>(running.size());
}

void FakeEngineFleet::deliverUntil(TimePoint now)
{
    while (!m_reads.empty() && m_reads.top().at <= now) {
        auto read = m_reads.top();
        m_reads.pop();
        m_instances[read.instance].placement.recordRead(read.read, read.at);
    }
}

void FakeEngineFleet::refreshView(TimePoint now)
{
    auto age = std::max<std::int64_t>(1, Microseconds(m_settings.viewAge).count());
    auto number = now.time_since_epoch().count() / age;
    if (number == m_viewNumber && m_settings.viewAge.count() > 0)
        return;
    m_viewNumber = number;
    for (std::size_t n = 0; n < m_engines.size(); ++n) {
        auto wait = std::chrono::duration<double, std::milli>(m_engines[n].busyUntil - now).count();
        m_view[n] = { std::max(0.0, wait) * m_settings.tokensPerMillisecond, runningOn(n, now), 0 };
        for (const auto& it : m_engines[n].running)
            m_view[n].committedTokens += it.tokens;
    }
    for (auto& it : m_instances)
        std::fill(it.own.begin(), it.own.end(), Seen {});
}

void FakeEngineFleet::exchangeNews(TimePoint now)
{
    auto period = std::max(heartbeatPeriod, m_settings.viewAge);
    auto number = now.time_since_epoch() / Microseconds(period);
    if (number == m_newsNumber || !m_settings.tellsReads)
        return;
    m_newsNumber = number;
    std::vector<std::vector<PromptHolding>> news;
    for (auto& it : m_instances)
        news.push_back(it.placement.news(false, now));
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        for (std::size_t other = 0; other < news.size(); ++other) {
            if (other != n)
                m_instances[n].placement.learn(news[other], now);
        }
    }
}

FakeEngineFleet::Seen FakeEngineFleet::seenBy(const Instance& instance, std::size_t engine) const
{
    const auto& own = instance.own[engine];
    return { m_view[engine].work + own.work, m_view[engine].requests + own.requests, m_view[engine].committedTokens + own.committedTokens };
}

std::int64_t FakeEngineFleet::readPrompt(Engine& engine, const PromptPrefixes& prefixes, const RoutedRequest& request)
{
    std::int64_t found = 0;
    bool isCached = true;
    auto parts = prefixes;
    parts.push_back({ hashOf(request.id.value), request.promptParts.back().tokens });
    for (auto it = parts.begin(); it != parts.end(); ++it) {
        auto cached = std::find_if(engine.cache.begin(), engine.cache.end(), [&](const auto& entry) { return entry.key == it->key; });
        bool isThere = cached != engine.cache.end();
        isCached = isCached && isThere;
        if (isCached)
            found += it->tokens;
        if (isThere) {
            engine.cachedTokens -= it->tokens;
            engine.cache.erase(cached);
        }
    }
    // The last use of a prefix is not before that of a longer one.
    for (auto it = parts.rbegin(); it != parts.rend(); ++it) {
        engine.cache.push_front(*it);
        engine.cachedTokens += it->tokens;
    }
    std::int64_t committed = 0;
    for (const auto& it : engine.running)
        committed += it.tokens;
    while (!engine.cache.empty() && engine.cachedTokens > m_settings.memoryTokens - committed) {
        engine.cachedTokens -= engine.cache.back().tokens;
        engine.cache.pop_back();
    }
    return found;
}

FakeResult FakeEngineFleet::send(std::size_t instance, const RoutedRequest& request, const ModelId& model, double modelWeight, TimePoint now)
{
    deliverUntil(now);
    exchangeNews(now);
    refreshView(now);
    auto& self = m_instances[instance];
    auto prefixes = sharedPrefixes(model, request);
    self.placement.recordRequest(prefixes, static_cast<double>(request.promptTokens) * modelWeight, now);
    std::vector<PromptCandidate> candidates;
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        auto seen = seenBy(self, n);
        candidates.push_back({ &m_entries[n], m_settings.memoryTokens - seen.committedTokens, seen.work, 1 });
    }
    PromptDemand demand { request.promptTokens, modelWeight, 1 / m_settings.tokensPerMillisecond, m_settings.targetLatency };
    auto credits = self.placement.credits(prefixes, demand, candidates, now);
    auto affinityKey = request.promptParts[request.promptParts.size() - 2].id;
    std::size_t home = 0;
    for (std::size_t n = 1; n < m_entries.size(); ++n) {
        if (hashOf(affinityKey, m_entries[n].id.value) > hashOf(affinityKey, m_entries[home].id.value))
            home = n;
    }
    FakeResult result;
    result.shared = totalTokens(prefixes);
    std::vector<double> cost;
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        auto seen = seenBy(self, n);
        auto credit = m_settings.hasFixedCredit ? (n == home ? fixedCredit * static_cast<double>(result.shared) : 0) : credits[n].savedWork;
        auto jitter = std::uniform_real_distribution<double>(0, 200)(m_random);
        cost.push_back(seen.work + jitter - credit + (isInOtherDomain(instance, n) ? crossDomainPenalty : 0) + (seen.requests >= m_settings.slots ? fullPenalty : 0));
    }
    for (;;) {
        auto best = static_cast<std::size_t>(std::min_element(cost.begin(), cost.end()) - cost.begin());
        if (runningOn(best, now) < m_settings.slots || result.refusals + 1 == m_entries.size()) {
            result.engine = best;
            break;
        }
        cost[best] = std::numeric_limits<double>::max();
        ++result.refusals;
    }
    auto seen = seenBy(self, result.engine);
    auto& engine = m_engines[result.engine];
    result.found = readPrompt(engine, prefixes, request);
    result.readWork = static_cast<double>(request.promptTokens - result.found) * modelWeight;
    result.crossesDomain = isInOtherDomain(instance, result.engine);
    auto reading = result.readWork / m_settings.tokensPerMillisecond;
    auto readAt = std::max(now, engine.busyUntil) + Microseconds(static_cast<std::int64_t>(reading * 1000));
    engine.busyUntil = readAt + Microseconds(static_cast<std::int64_t>(responseWork / m_settings.tokensPerMillisecond * 1000));
    engine.running.push_back({ readAt + responseTime, request.promptTokens });
    result.firstEvent = toMilliseconds(readAt - now);
    auto& own = self.own[result.engine];
    auto unread = request.promptTokens - (m_settings.hasFixedCredit ? 0 : credits[result.engine].outlook.cachedTokens);
    own.work += static_cast<double>(unread) * modelWeight + responseWork;
    ++own.requests;
    own.committedTokens += request.promptTokens;
    EngineOutlook expected { seen.work, 1 };
    m_reads.push({ readAt, instance, { processName(m_entries[result.engine]), prefixes, request.promptTokens, modelWeight, credits[result.engine].outlook, result.firstEvent, expectedFirstEvent(demand, expected, static_cast<double>(result.shared)), expectedFirstEvent(demand, expected, 0) } });
    return result;
}

}
