#include "core/routing/link_monitor.h"

#include <algorithm>
#include <iterator>

namespace skylarkhitch {

namespace {

    // Failures that wait for the result of a round.
    constexpr std::size_t maxFailures = 256;

}

void LinkMonitor::connected(TimePoint now)
{
    m_connectedAt = now;
    // While links are lost, only checks tell whether they are back: a single connection is not enough.
    if (isLost())
        return;
    m_isSuspected = false;
    confirmFailures();
}

void LinkMonitor::heardNothing(SilentUpstream failure)
{
    if (isLost())
        return;
    m_isSuspected = true;
    if (m_failures.size() < maxFailures)
        m_failures.push_back(std::move(failure));
}

void LinkMonitor::confirmFailures()
{
    std::move(m_failures.begin(), m_failures.end(), std::back_inserter(m_confirmed));
    m_failures.clear();
}

bool LinkMonitor::connectionLost(const UpstreamId& upstream, TimePoint now)
{
    std::erase_if(m_lostConnections, [&](const auto& it) { return now - it.second > m_settings.togetherTime; });
    m_lostConnections[upstream] = now;
    bool areLostTogether = m_lostConnections.size() >= m_settings.upstreamsLostTogether;
    m_isSuspected = m_isSuspected || areLostTogether;
    return areLostTogether;
}

std::vector<UpstreamEntry> LinkMonitor::beginRound(const std::map<ServiceId, std::vector<UpstreamEntry>>& upstreams, TimePoint now)
{
    bool isDue = isLost() || m_isSuspected || now - m_connectedAt >= m_settings.quietTime;
    if (m_round || !isDue || now - m_roundEndedAt < m_settings.checkPeriod)
        return {};
    // One upstream of each service in turn, and of a domain that has none yet where there is one.
    std::vector<std::vector<UpstreamEntry>> byService;
    for (const auto& [service, entries] : upstreams) {
        byService.push_back(entries);
        std::shuffle(byService.back().begin(), byService.back().end(), m_random);
    }
    std::shuffle(byService.begin(), byService.end(), m_random);
    std::vector<UpstreamEntry> chosen;
    std::set<DomainId> domains;
    for (bool hasMore = true; hasMore && chosen.size() < m_settings.checksPerRound;) {
        hasMore = false;
        for (auto& entries : byService) {
            if (entries.empty() || chosen.size() >= m_settings.checksPerRound)
                continue;
            auto it = std::find_if(entries.begin(), entries.end(), [&](const auto& entry) { return !domains.contains(entry.domain); });
            if (it == entries.end())
                it = entries.begin();
            domains.insert(it->domain);
            chosen.push_back(std::move(*it));
            entries.erase(it);
            hasMore = true;
        }
    }
    if (!chosen.empty())
        m_round = Round { chosen.size(), now };
    return chosen;
}

void LinkMonitor::checkEnded(bool isReached, TimePoint now)
{
    if (!m_round)
        return;
    ++m_round->ended;
    m_round->reached += isReached ? 1 : 0;
    if (isReached)
        connected(now);
    if (m_round->ended == m_round->checks)
        endRound(now);
}

void LinkMonitor::endRound(TimePoint now)
{
    auto round = *std::exchange(m_round, std::nullopt);
    m_roundEndedAt = now;
    if (!isLost()) {
        // Connections of requests that were established during the round count as well.
        if (round.reached > 0 || (now - m_connectedAt < m_settings.checkPeriod && !m_isSuspected))
            return;
        bool mayBeFull = round.beganAt < m_fullUntil && now - m_connectedAt < m_settings.maxFullTime;
        if (mayBeFull)
            return;
        m_events.push_back({ true, round.checks, round.reached, toMilliseconds(now - m_connectedAt) });
        m_lostAt = now;
        m_goodRounds = 0;
        m_failures.clear();
        return;
    }
    m_goodRounds = 2 * round.reached >= round.checks ? m_goodRounds + 1 : 0;
    if (m_goodRounds < m_settings.roundsToRegain)
        return;
    m_events.push_back({ false, round.checks, round.reached, toMilliseconds(now - *m_lostAt) });
    m_lostAt.reset();
    m_regainedAt = now;
    m_isSuspected = false;
}

}
