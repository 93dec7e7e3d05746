#include "core/membership/fleet_roster.h"

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

std::vector<const FleetPeer*> FleetRoster::live(TimePoint now) const
{
    std::vector<const FleetPeer*> peers;
    for (const auto& [id, it] : m_peers) {
        if (now - it.heardAt <= liveFor)
            peers.push_back(&it);
    }
    return peers;
}

std::vector<std::string> FleetRoster::receivers(TimePoint now)
{
    auto addresses = m_expected;
    addresses.insert(m_listed.begin(), m_listed.end());
    for (const auto& [id, it] : m_peers) {
        if (now - it.heardAt > rememberedFor)
            continue;
        addresses.insert(it.beat.addresses.peers);
        addresses.insert(it.beat.known.begin(), it.beat.known.end());
    }
    addresses.erase(m_ownAddress);
    std::vector<std::string> all(addresses.begin(), addresses.end());
    if (all.size() <= mostReceivers)
        return all;
    std::vector<std::string> some;
    for (std::size_t n = 0; n < mostReceivers; ++n)
        some.push_back(all[m_turn++ % all.size()]);
    return some;
}

const FleetPeer* FleetRoster::aheadOf(std::int64_t storeRevision, TimePoint now) const
{
    const FleetPeer* best = nullptr;
    for (const auto* it : live(now)) {
        bool isAhead = it->beat.storeRevision > storeRevision;
        if (isAhead && (!best || it->beat.storeRevision > best->beat.storeRevision))
            best = it;
    }
    return best;
}

}
