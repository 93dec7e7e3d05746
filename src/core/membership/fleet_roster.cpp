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
        m_expected.insert(peerAddress);
}

bool FleetRoster::isLive(const FleetPeer& peer, TimePoint now) const
{
    bool isMesh = m_near + m_far <= mostReceivers;
    bool isNear = peer.beat.domain == m_domain;
    auto peers = isNear ? m_near : m_far;
    auto receivers = isNear ? mostReceivers : farReceivers;
    auto beats = isMesh ? 1 : (peers + receivers - 1) / receivers;
    return now - peer.heardAt <= beatPeriod * missingBeats * std::max<std::size_t>(1, beats) + beatMargin;
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
    auto addresses = m_listed;
    for (const auto& it : m_expected)
        addresses.try_emplace(it);
    for (const auto& [id, it] : m_peers) {
        if (now - it.heardAt > rememberedFor)
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
    std::vector<std::string> near, far;
    for (const auto& [address, domain] : addresses(now))
        (domain == m_domain ? near : far).push_back(address);
    m_near = near.size();
    m_far = far.size();
    auto chosen = near;
    if (m_near + m_far <= mostReceivers) {
        chosen.insert(chosen.end(), far.begin(), far.end());
        return chosen;
    }
    if (near.size() > mostReceivers) {
        chosen.clear();
        for (std::size_t n = 0; n < mostReceivers; ++n)
            chosen.push_back(near[m_nearTurn++ % near.size()]);
    }
    for (std::size_t n = 0; n < std::min(farReceivers, far.size()); ++n)
        chosen.push_back(far[m_farTurn++ % far.size()]);
    return chosen;
}

std::size_t FleetRoster::size(TimePoint now) const
{
    return std::max(live(now).size(), addresses(now).size()) + 1;
}

bool FleetRoster::shouldFollowStore(TimePoint now) const
{
    if (m_near + m_far <= mostReceivers)
        return true;
    std::size_t before = 0, fresh = 0;
    for (const auto* it : live(now)) {
        const auto& beat = it->beat;
        if (beat.domain != m_domain || !beat.hasStore || beat.leaving || beat.storeAge < Milliseconds(0))
            continue;
        before += beat.from.instance < m_self.instance ? 1 : 0;
        fresh += now - it->heardAt + beat.storeAge < followerSilence ? 1 : 0;
    }
    return before < followersInDomain || fresh == 0;
}

const FleetPeer* FleetRoster::aheadOf(std::int64_t storeRevision, TimePoint now) const
{
    const FleetPeer* best = nullptr;
    for (const auto* it : live(now)) {
        if (it->beat.storeRevision <= storeRevision)
            continue;
        bool isNear = it->beat.domain == m_domain;
        bool bestIsNear = best && best->beat.domain == m_domain;
        if (!best || (isNear && !bestIsNear) || (isNear == bestIsNear && it->beat.storeRevision > best->beat.storeRevision))
            best = it;
    }
    return best;
}

}
