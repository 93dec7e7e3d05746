#include "core/membership/fleet_roster.h"

#include <algorithm>

namespace skylarkhitch {

bool FleetRoster::heard(const FleetBeat& beat, TimePoint now)
{
    if (beat.from.instance == m_self.instance)
        return false;
    auto& peer = m_peers[beat.from.instance];
    bool isOld = beat.from.number < peer.beat.from.number
        || (beat.from.number == peer.beat.from.number && beat.sequence <= peer.beat.sequence);
    if (isOld)
        return false;
    peer = { beat, now };
    return true;
}

void FleetRoster::expect(const std::string& peerAddress)
{
    if (peerAddress != m_ownAddress)
        m_seedAddresses.insert(peerAddress);
}

bool FleetRoster::isLive(const FleetPeer& peer, TimePoint now) const
{
    bool isFullMesh = m_ownDomainPeers + m_otherDomainPeers <= maxReceivers;
    bool isOwnDomain = peer.beat.domain == m_domain;
    auto peers = isOwnDomain ? m_ownDomainPeers : m_otherDomainPeers;
    auto receiversPerHeartbeat = isOwnDomain ? maxReceivers : farReceivers;
    auto rotationLength = isFullMesh ? 1 : (peers + receiversPerHeartbeat - 1) / receiversPerHeartbeat;
    return now - peer.heardAt <= beatPeriod * maxMissedHeartbeats * std::max<std::size_t>(1, rotationLength) + heartbeatMargin;
}

std::vector<const FleetPeer*> FleetRoster::live(TimePoint now) const
{
    std::vector<const FleetPeer*> peers;
    for (const auto& [id, it] : m_peers) {
        if (isLive(it, now))
            peers.push_back(&it);
    }
    return peers;
}

std::map<std::string, DomainId> FleetRoster::addresses(TimePoint now) const
{
    auto addresses = m_listedPeers;
    for (const auto& it : m_seedAddresses)
        addresses.try_emplace(it);
    for (const auto& [id, it] : m_peers) {
        if (now - it.heardAt > addressRetention)
            continue;
        addresses[it.beat.addresses.peers] = it.beat.domain;
        for (const auto& known : it.beat.known)
            addresses.try_emplace(known);
    }
    addresses.erase(m_ownAddress);
    return addresses;
}

std::vector<std::string> FleetRoster::receivers(TimePoint now)
{
    std::vector<std::string> ownDomain, otherDomains;
    for (const auto& [address, domain] : addresses(now))
        (domain == m_domain ? ownDomain : otherDomains).push_back(address);
    m_ownDomainPeers = ownDomain.size();
    m_otherDomainPeers = otherDomains.size();
    auto chosen = ownDomain;
    if (m_ownDomainPeers + m_otherDomainPeers <= maxReceivers) {
        chosen.insert(chosen.end(), otherDomains.begin(), otherDomains.end());
        return chosen;
    }
    if (ownDomain.size() > maxReceivers) {
        chosen.clear();
        for (std::size_t n = 0; n < maxReceivers; ++n)
            chosen.push_back(ownDomain[m_ownDomainNext++ % ownDomain.size()]);
    }
    for (std::size_t n = 0; n < std::min(farReceivers, otherDomains.size()); ++n)
        chosen.push_back(otherDomains[m_otherDomainNext++ % otherDomains.size()]);
    return chosen;
}

std::size_t FleetRoster::size(TimePoint now) const
{
    return std::max(live(now).size(), addresses(now).size()) + 1;
}

bool FleetRoster::shouldFollowStore(TimePoint now) const
{
    if (m_ownDomainPeers + m_otherDomainPeers <= maxReceivers)
        return true;
    std::size_t precedingFollowers = 0, freshFollowers = 0;
    for (const auto* it : live(now)) {
        const auto& beat = it->beat;
        if (beat.domain != m_domain || !beat.hasStore || beat.leaving || beat.storeAge < Milliseconds(0))
            continue;
        precedingFollowers += beat.from.instance < m_self.instance ? 1 : 0;
        freshFollowers += now - it->heardAt + beat.storeAge < maxFollowerStoreAge ? 1 : 0;
    }
    return precedingFollowers < followersPerDomain || freshFollowers == 0;
}

const FleetPeer* FleetRoster::aheadOf(std::int64_t storeRevision, TimePoint now) const
{
    const FleetPeer* best = nullptr;
    for (const auto* it : live(now)) {
        if (it->beat.storeRevision <= storeRevision)
            continue;
        bool isOwnDomain = it->beat.domain == m_domain;
        bool bestIsOwnDomain = best && best->beat.domain == m_domain;
        if (!best || (isOwnDomain && !bestIsOwnDomain) || (isOwnDomain == bestIsOwnDomain && it->beat.storeRevision > best->beat.storeRevision))
            best = it;
    }
    return best;
}

}
