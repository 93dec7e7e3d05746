#include "core/membership/fleet_relay.h"

#include "core/hashing.h"

#include <algorithm>

namespace skylarkhitch {

namespace {

    void addWork(std::map<UpstreamId, UpstreamWork>& sum, const std::map<UpstreamId, UpstreamWork>& work)
    {
        for (const auto& [id, it] : work)
            add(sum[id], it);
    }

    void addEvidence(ReleaseEvidence& sum, const ReleaseEvidence& evidence)
    {
        for (const auto& [key, it] : evidence)
            add(sum[key], it);
    }

}

void FleetRelay::keepBest(ReceivedSums& known, ReceivedSums received)
{
    bool isKnownRecent = received.at - known.at <= maxSumsAge;
    if (!isKnownRecent || received.sums.instances * 10 >= known.sums.instances * 9)
        known = std::move(received);
}

void FleetRelay::onHeartbeat(const FleetHeartbeat& heartbeat, TimePoint now)
{
    if (heartbeat.asksForDigest) {
        auto& subscriber = m_subscribers[heartbeat.addresses.peers];
        subscriber.domain = heartbeat.domain;
        subscriber.turn = hashOf("turn", heartbeat.addresses.peers);
        subscriber.askedAt = now;
    }
    if (!heartbeat.digest)
        return;
    ReceivedSums received { heartbeat.digest->sums, now, std::nullopt };
    auto ownKey = incarnationKey(m_self);
    for (const auto& it : heartbeat.digest->rows) {
        if (it.key == ownKey)
            received.ownSequence = it.sequence;
    }
    keepBest(heartbeat.domain == m_domain ? m_site : m_domains[heartbeat.domain], std::move(received));
}

FleetRelay::Targets FleetRelay::nextTargets(const Candidates& candidates, TimePoint now)
{
    auto turn = m_turn++;
    auto isDue = [&](std::size_t position) { return position % 2 == turn % 2; };
    Targets targets;
    auto own = candidates.find(m_domain);
    auto hubs = own == candidates.end() ? std::vector<HubChoice::Instance> {} : m_ownHubs.choose(own->second, now);
    m_isAmongHubs = HubChoice::isAmongHubs({ m_ownAddress, m_capacity }, hubs);
    if (m_isAmongHubs && hubs.size() == HubChoice::hubsPerDomain)
        hubs.pop_back();
    m_chosenHubs.clear();
    for (std::size_t n = 0; n < hubs.size(); ++n) {
        m_chosenHubs.insert(hubs[n].address);
        if (hubs.size() == 1 || isDue(n))
            targets.hubs.push_back(hubs[n].address);
    }
    std::erase_if(m_subscribers, [&](const auto& it) { return now - it.second.askedAt > subscriptionTime; });
    m_hasMembers = false;
    for (auto& [address, it] : m_subscribers) {
        bool isMember = it.domain == m_domain;
        m_hasMembers = m_hasMembers || isMember;
        // Not by position: a digest has a part of the site, and whoever changes turns may miss the same part again and again.
        if (!isDue(it.turn) && !it.isNew)
            continue;
        auto& members = it.isNew ? targets.newMembers : targets.members;
        (isMember ? members : targets.otherSubscribers).push_back(address);
        it.isNew = false;
    }
    if (!isHub())
        return targets;
    for (const auto& [domain, instances] : candidates) {
        if (domain == m_domain || domain.empty())
            continue;
        auto others = m_otherHubs[domain].choose(instances, now);
        for (std::size_t n = 0; n < others.size(); ++n) {
            m_chosenHubs.insert(others[n].address);
            std::erase(targets.otherSubscribers, others[n].address);
            if (isDue(n))
                targets.otherHubs.push_back(others[n].address);
        }
    }
    return targets;
}

std::vector<std::string> FleetRelay::allTargets() const
{
    auto all = m_chosenHubs;
    for (const auto& [address, it] : m_subscribers)
        all.insert(address);
    return { all.begin(), all.end() };
}

void FleetRelay::sent(const FleetHeartbeat& own)
{
    m_sentWork.push_back({ static_cast<std::uint16_t>(own.sequence), own.work });
    if (m_sentWork.size() > keptSentWork)
        m_sentWork.pop_front();
}

FleetSums FleetRelay::ownSums(const FleetHeartbeat& own, const std::vector<const FleetHeartbeat*>& ownDomain, bool isWholeSite, TimePoint now) const
{
    FleetSums sums { 1 + ownDomain.size(), own.work, own.evidence };
    for (const auto* it : ownDomain) {
        addWork(sums.work, it->work);
        addEvidence(sums.evidence, it->evidence);
    }
    if (!isWholeSite)
        return sums;
    for (const auto& [domain, it] : m_domains) {
        addEvidence(sums.evidence, it.sums.evidence);
        if (now - it.at > maxSumsAge)
            continue;
        sums.instances += it.sums.instances;
        addWork(sums.work, it.sums.work);
    }
    return sums;
}

std::optional<std::map<UpstreamId, UpstreamWork>> FleetRelay::workOfOthers(std::size_t moreThan, TimePoint now) const
{
    if (now - m_site.at > maxSumsAge || m_site.sums.instances <= moreThan)
        return std::nullopt;
    auto work = m_site.sums.work;
    auto own = std::find_if(m_sentWork.begin(), m_sentWork.end(), [&](const auto& it) { return it.sequence == m_site.ownSequence; });
    if (own == m_sentWork.end())
        return work;
    for (const auto& [id, it] : own->work)
        subtract(work[id], it);
    return work;
}

const ReleaseEvidence* FleetRelay::evidence(std::size_t moreThan, TimePoint now) const
{
    return now - m_site.at <= maxEvidenceAge && m_site.sums.instances > moreThan ? &m_site.sums.evidence : nullptr;
}

}
