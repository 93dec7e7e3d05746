#include "core/membership/fleet_membership.h"

#include <algorithm>

namespace skylarkhitch {

bool FleetMembership::onHeartbeat(const FleetHeartbeat& heartbeat, TimePoint now)
{
    if (heartbeat.from.instance == m_self.instance)
        return false;
    auto& peer = m_peers[heartbeat.from.instance];
    bool isOld = heartbeat.from.number < peer.heartbeat.from.number
        || (heartbeat.from.number == peer.heartbeat.from.number && heartbeat.sequence <= peer.heartbeat.sequence);
    if (isOld)
        return false;
    peer = { heartbeat, now };
    return true;
}

void FleetMembership::addSeedAddress(const std::string& peerAddress)
{
    if (peerAddress != m_ownAddress)
        m_seedAddresses.insert(peerAddress);
}

bool FleetMembership::isLive(const FleetPeer& peer, TimePoint now) const
{
    bool isOwnDomain = peer.heartbeat.domain == m_domain;
    auto peers = isOwnDomain ? m_ownDomainPeers : m_otherDomainPeers;
    auto receiversPerHeartbeat = isOwnDomain ? maxReceivers : otherDomainReceivers;
    auto rotationLength = isFullMesh() ? 1 : (peers + receiversPerHeartbeat - 1) / receiversPerHeartbeat;
    return now - peer.lastHeartbeatAt <= heartbeatPeriod * maxMissedHeartbeats * std::max<std::size_t>(1, rotationLength) + heartbeatMargin;
}

std::vector<const FleetPeer*> FleetMembership::livePeers(TimePoint now) const
{
    std::vector<const FleetPeer*> peers;
    for (const auto& [id, it] : m_peers) {
        if (isLive(it, now))
            peers.push_back(&it);
    }
    return peers;
}

std::map<std::string, DomainId> FleetMembership::addresses(TimePoint now) const
{
    auto addresses = m_listedPeers;
    for (const auto& it : m_seedAddresses)
        addresses.try_emplace(it);
    for (const auto& [id, it] : m_peers) {
        if (now - it.lastHeartbeatAt > addressRetention)
            continue;
        addresses[it.heartbeat.addresses.peers] = it.heartbeat.domain;
        for (const auto& known : it.heartbeat.known)
            addresses.try_emplace(known);
    }
    addresses.erase(m_ownAddress);
    return addresses;
}

std::vector<std::string> FleetMembership::nextReceivers(TimePoint now)
{
    std::vector<std::string> ownDomain, otherDomains;
    for (const auto& [address, domain] : addresses(now))
        (domain == m_domain ? ownDomain : otherDomains).push_back(address);
    m_ownDomainPeers = ownDomain.size();
    m_otherDomainPeers = otherDomains.size();
    auto chosen = ownDomain;
    if (isFullMesh()) {
        chosen.insert(chosen.end(), otherDomains.begin(), otherDomains.end());
        return chosen;
    }
    if (ownDomain.size() > maxReceivers) {
        chosen.clear();
        for (std::size_t n = 0; n < maxReceivers; ++n)
            chosen.push_back(ownDomain[m_ownDomainNext++ % ownDomain.size()]);
    }
    for (std::size_t n = 0; n < std::min(otherDomainReceivers, otherDomains.size()); ++n)
        chosen.push_back(otherDomains[m_otherDomainNext++ % otherDomains.size()]);
    return chosen;
}

std::size_t FleetMembership::size(TimePoint now) const
{
    return std::max(livePeers(now).size(), addresses(now).size()) + 1;
}

bool FleetMembership::shouldFollowStore(TimePoint now) const
{
    auto followers = isFullMesh() ? followersOfSmallSite : followersPerDomain;
    std::size_t precedingFollowers = 0, freshFollowers = 0;
    for (const auto* it : livePeers(now)) {
        const auto& heartbeat = it->heartbeat;
        bool isCandidate = isFullMesh() || heartbeat.domain == m_domain;
        if (!isCandidate || !heartbeat.storeReachable || heartbeat.leaving || heartbeat.storeAge < Milliseconds(0))
            continue;
        precedingFollowers += heartbeat.from.instance < m_self.instance ? 1 : 0;
        freshFollowers += now - it->lastHeartbeatAt + heartbeat.storeAge < maxFollowerStoreAge ? 1 : 0;
    }
    return precedingFollowers < followers || freshFollowers == 0;
}

bool FleetMembership::reachesStore(const FleetPeer& peer, TimePoint now) const
{
    const auto& heartbeat = peer.heartbeat;
    return heartbeat.storeReachable && heartbeat.storeAge >= Milliseconds(0) && now - peer.lastHeartbeatAt + heartbeat.storeAge <= maxStoreSilence;
}

const FleetPeer* FleetMembership::peerAheadOf(std::int64_t storeRevision, TimePoint now) const
{
    const FleetPeer* best = nullptr;
    for (const auto* it : livePeers(now)) {
        if (it->heartbeat.storeRevision <= storeRevision)
            continue;
        bool isOwnDomain = it->heartbeat.domain == m_domain;
        bool bestIsOwnDomain = best && best->heartbeat.domain == m_domain;
        if (!best || (isOwnDomain && !bestIsOwnDomain) || (isOwnDomain == bestIsOwnDomain && it->heartbeat.storeRevision > best->heartbeat.storeRevision))
            best = it;
    }
    return best;
}

const FleetPeer* FleetMembership::peerWithLaterConfiguration(std::int64_t version, TimePoint now) const
{
    const FleetPeer* best = nullptr;
    for (const auto* it : livePeers(now)) {
        if (it->heartbeat.configurationVersion > (best ? best->heartbeat.configurationVersion : version))
            best = it;
    }
    return best;
}

}
