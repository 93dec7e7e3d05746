#include "core/membership/fleet_membership.h"

#include "core/hashing.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace skylarkhitch {

bool FleetMembership::onHeartbeat(const FleetHeartbeat& heartbeat, TimePoint now)
{
    if (heartbeat.from.instance == m_self.instance)
        return false;
    auto& peer = m_peers[heartbeat.from.instance];
    bool isOld = heartbeat.from.number < peer.heartbeat.from.number
        || (heartbeat.from.number == peer.heartbeat.from.number && heartbeat.sequence <= peer.heartbeat.sequence);
    // The same heartbeat may come with a digest, or asking for one, and without.
    bool isSame = heartbeat.from.number == peer.heartbeat.from.number && heartbeat.sequence == peer.heartbeat.sequence;
    if (isSame && heartbeat.readsDigests)
        learnRelayed(heartbeat, now);
    if (isOld)
        return false;
    bool isOtherIncarnation = heartbeat.from.number != peer.heartbeat.from.number;
    peer = { heartbeat, now, now, isOtherIncarnation ? now : peer.knownSince };
    if (!heartbeat.readsDigests) {
        m_olderAddresses.insert(heartbeat.addresses.peers);
        m_readers.erase(heartbeat.addresses.peers);
        return true;
    }
    m_olderAddresses.erase(heartbeat.addresses.peers);
    m_keys[incarnationKey(heartbeat.from)] = heartbeat.from.instance;
    m_readers[heartbeat.addresses.peers] = heartbeat.from.instance;
    peer.heartbeat.digest.reset();
    learnRelayed(heartbeat, now);
    return true;
}

void FleetMembership::learnRelayed(const FleetHeartbeat& heartbeat, TimePoint now)
{
    m_relay.onHeartbeat(heartbeat, now);
    if (heartbeat.digest)
        learn(*heartbeat.digest, heartbeat.domain == m_domain, now);
}

void FleetMembership::learn(const FleetDigest& digest, bool isOwnDomain, TimePoint now)
{
    std::erase_if(m_relayedCrashes, [&](const auto& it) { return now - it.second.at > relayedCrashTime; });
    for (const auto& it : digest.identities)
        learnIdentity(it, now);
    for (const auto& it : digest.rows) {
        auto key = m_keys.find(it.key);
        auto peer = key == m_keys.end() ? m_peers.end() : m_peers.find(key->second);
        auto at = now - Milliseconds(std::int64_t { 10 } * it.age);
        if (peer == m_peers.end() || incarnationKey(peer->second.heartbeat.from) != it.key || at <= peer->second.lastHeartbeatAt)
            continue;
        peer->second.lastHeartbeatAt = at;
        auto& heartbeat = peer->second.heartbeat;
        heartbeat.ready = it.ready;
        // An incarnation that leaves does not come back.
        heartbeat.leaving = heartbeat.leaving || it.leaving;
        heartbeat.reachesUpstreams = it.reachesUpstreams;
        heartbeat.storeReachable = it.storeReachable;
    }
    for (const auto& [id, crashes] : digest.crashes) {
        if (id != m_self.instance && (m_relayedCrashes.size() < maxRelayedCrashes || m_relayedCrashes.contains(id)))
            m_relayedCrashes[id] = { crashes, isOwnDomain, now };
    }
}

void FleetMembership::learnIdentity(const InstanceIdentity& identity, TimePoint now)
{
    const auto& incarnation = identity.incarnation;
    if (incarnation.instance == m_self.instance)
        return;
    auto known = m_peers.find(incarnation.instance);
    if (known != m_peers.end() && known->second.heartbeat.from.number >= incarnation.number)
        return;
    FleetPeer peer;
    peer.heartbeat.from = incarnation;
    peer.heartbeat.domain = identity.domain;
    peer.heartbeat.addresses = { identity.entryAddress, identity.peerAddress };
    peer.heartbeat.readsDigests = true;
    peer.heartbeat.capacity = identity.capacity;
    peer.knownSince = now;
    m_peers[incarnation.instance] = std::move(peer);
    m_keys[incarnationKey(incarnation)] = incarnation.instance;
    m_readers[identity.peerAddress] = incarnation.instance;
}

LivenessRow FleetMembership::rowOf(const FleetPeer& peer, TimePoint now) const
{
    const auto& it = peer.heartbeat;
    auto age = std::clamp<std::int64_t>(toMilliseconds(now - peer.lastHeartbeatAt).count() / 10, 0, UINT16_MAX);
    return { incarnationKey(it.from), static_cast<std::uint16_t>(it.sequence), static_cast<std::uint16_t>(age), it.ready, it.leaving, it.reachesUpstreams, it.storeReachable };
}

FleetDigest FleetMembership::digest(const FleetHeartbeat& own, DigestScope scope, TimePoint now)
{
    FleetDigest digest;
    bool isWholeSite = scope != DigestScope::OwnDomain, hasAll = scope == DigestScope::WholeSiteForNewMembers;
    m_siteDigests += scope == DigestScope::WholeSite ? 1 : 0;
    std::vector<const FleetPeer*> told;
    for (const auto& [id, it] : m_peers) {
        bool isOwnDomain = it.heartbeat.domain == m_domain;
        if (!it.heartbeat.readsDigests || now - it.lastHeartbeatAt > relayedRetention || !(isOwnDomain || isWholeSite))
            continue;
        told.push_back(&it);
        auto row = rowOf(it, now);
        if (isOwnDomain || hasAll || row.key % otherDomainParts == m_siteDigests % otherDomainParts)
            digest.rows.push_back(row);
    }
    // The start differs from digest to digest, so that each receiver gets all identities in time.
    auto start = static_cast<std::size_t>(hashOf("identities", absl::StrCat(m_digests++)));
    std::size_t newIdentities = 0, others = 0;
    for (std::size_t n = 0; n < told.size(); ++n) {
        const auto& it = *told[(start + n) % told.size()];
        bool isNew = now - it.knownSince < newIdentityTime;
        auto& count = isNew ? newIdentities : others;
        if (hasAll || count++ < (isNew ? maxNewIdentities : identitiesInTurn))
            digest.identities.push_back({ it.heartbeat.from, it.heartbeat.domain, it.heartbeat.addresses.entry, it.heartbeat.addresses.peers, it.heartbeat.capacity });
    }
    digest.sums = m_relay.ownSums(own, summedPeers(now), isWholeSite, now);
    digest.crashes = heardCrashes(now);
    if (!own.crashes.empty())
        digest.crashes[m_self.instance] = own.crashes;
    for (const auto& [id, it] : m_relayedCrashes) {
        // What came from a hub of the own domain is not passed on, so that nothing goes round.
        if (isWholeSite && !it.isFromOwnDomain)
            digest.crashes.try_emplace(id, it.crashes);
    }
    return digest;
}

std::vector<const FleetHeartbeat*> FleetMembership::summedPeers(TimePoint now) const
{
    std::vector<const FleetHeartbeat*> peers;
    for (const auto& [id, it] : m_peers) {
        if (it.lastHeardAt != TimePoint {} && it.heartbeat.domain == m_domain && now - it.lastHeardAt <= relayedLifetime)
            peers.push_back(&it.heartbeat);
    }
    return peers;
}

std::map<UpstreamId, UpstreamWork> FleetMembership::peerWork(TimePoint now) const
{
    FleetHeartbeat nothing;
    if (!isFullMesh()) {
        auto own = m_relay.ownSums(nothing, summedPeers(now), true, now);
        auto relayed = m_relay.workOfOthers(own.instances, now);
        return relayed ? *std::move(relayed) : std::move(own.work);
    }
    std::map<UpstreamId, UpstreamWork> sum;
    for (const auto* peer : livePeers(now)) {
        for (const auto& [id, work] : peer->heartbeat.work)
            add(sum[id], work);
    }
    return sum;
}

ReleaseEvidence FleetMembership::siteEvidence(const ReleaseEvidence& own, TimePoint now) const
{
    std::vector<const FleetHeartbeat*> heard;
    for (const auto& [id, it] : m_peers) {
        if (it.lastHeardAt != TimePoint {} && (isFullMesh() || it.heartbeat.domain == m_domain || !it.heartbeat.readsDigests))
            heard.push_back(&it.heartbeat);
    }
    FleetHeartbeat self;
    self.evidence = own;
    auto sums = m_relay.ownSums(self, heard, !isFullMesh(), now);
    const auto* relayed = isFullMesh() ? nullptr : m_relay.evidence(sums.instances, now);
    if (relayed)
        return *relayed;
    return std::move(sums.evidence);
}

CrashCounts FleetMembership::heardCrashes(TimePoint now) const
{
    CrashCounts crashes;
    for (const auto& [id, it] : m_peers) {
        if (isHeard(it, now) && !it.heartbeat.crashes.empty())
            crashes[id] = it.heartbeat.crashes;
    }
    return crashes;
}

bool FleetMembership::isHeard(const FleetPeer& peer, TimePoint now) const
{
    return peer.lastHeardAt != TimePoint {} && isLive(peer, now) && (isFullMesh() || now - peer.lastHeardAt <= relayedCrashTime);
}

std::map<Incarnation, CrashCounts::mapped_type> FleetMembership::crashesByProcess(TimePoint now) const
{
    std::map<Incarnation, CrashCounts::mapped_type> crashes;
    for (const auto& [id, it] : m_peers) {
        if (isHeard(it, now))
            crashes[it.heartbeat.from] = it.heartbeat.crashes;
    }
    for (const auto& [id, told] : peerCrashes(now)) {
        auto peer = m_peers.find(id);
        crashes.try_emplace(peer == m_peers.end() ? Incarnation { id } : peer->second.heartbeat.from, told);
    }
    return crashes;
}

CrashCounts FleetMembership::peerCrashes(TimePoint now) const
{
    auto crashes = heardCrashes(now);
    for (const auto& [id, it] : m_relayedCrashes) {
        if (now - it.at <= relayedCrashTime)
            crashes.try_emplace(id, it.crashes);
    }
    return crashes;
}

void FleetMembership::addSeedAddress(const std::string& peerAddress)
{
    if (peerAddress != m_ownAddress)
        m_seedAddresses.insert(peerAddress);
}

bool FleetMembership::isLive(const FleetPeer& peer, TimePoint now) const
{
    bool isOwnDomain = peer.heartbeat.domain == m_domain;
    if (peer.heartbeat.readsDigests && !isFullMesh())
        return now - peer.lastHeartbeatAt <= (isOwnDomain ? relayedLifetime : relayedLifetimeElsewhere);
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

const FleetPeer* FleetMembership::findReader(const std::string& address) const
{
    auto it = m_readers.find(address);
    return it == m_readers.end() ? nullptr : &m_peers.at(it->second);
}

std::vector<std::string> FleetMembership::nextReceivers(TimePoint now)
{
    std::vector<std::string> ownDomain, otherDomains, silentOwnDomain, silentOthers;
    m_addresses = addresses(now);
    m_ownDomainPeers = static_cast<std::size_t>(std::count_if(m_addresses.begin(), m_addresses.end(), [&](const auto& it) { return it.second == m_domain; }));
    m_otherDomainPeers = m_addresses.size() - m_ownDomainPeers;
    for (const auto& [address, domain] : m_addresses) {
        bool isOwn = domain == m_domain;
        const auto* reader = findReader(address);
        if (reader && !isLive(*reader, now))
            (isOwn ? silentOwnDomain : silentOthers).push_back(address);
        else if (!reader || isFullMesh())
            (isOwn ? ownDomain : otherDomains).push_back(address);
    }
    std::vector<std::string> chosen;
    auto choose = [&](const std::vector<std::string>& addresses, std::size_t max, std::size_t& next) {
        for (std::size_t n = 0; n < std::min(max, addresses.size()); ++n)
            chosen.push_back(addresses[addresses.size() <= max ? n : next++ % addresses.size()]);
    };
    if (isFullMesh()) {
        for (auto* it : { &ownDomain, &silentOwnDomain, &otherDomains, &silentOthers })
            chosen.insert(chosen.end(), it->begin(), it->end());
        return chosen;
    }
    choose(ownDomain, maxReceivers, m_ownDomainNext);
    choose(otherDomains, otherDomainReceivers, m_otherDomainNext);
    choose(silentOwnDomain, silentReceivers, m_silentNext);
    choose(silentOthers, silentReceivers, m_silentOthersNext);
    return chosen;
}

FleetRelay::Targets FleetMembership::nextTargets(TimePoint now)
{
    if (isFullMesh())
        return {};
    FleetRelay::Candidates candidates;
    for (const auto& [address, domain] : m_addresses) {
        const auto* reader = findReader(address);
        if (!reader && !m_olderAddresses.contains(address))
            candidates[domain].push_back({ address, 0, true, {} });
        else if (reader && !reader->heartbeat.leaving)
            candidates[domain].push_back({ address, reader->heartbeat.capacity, isLive(*reader, now), reader->lastHeardAt });
    }
    return m_relay.nextTargets(candidates, now);
}

std::vector<std::string> FleetMembership::urgentReceivers(TimePoint now)
{
    return isFullMesh() ? nextReceivers(now) : m_relay.allTargets();
}

std::size_t FleetMembership::size(TimePoint now) const
{
    auto addressCount = m_addresses.empty() ? addresses(now).size() : m_addresses.size();
    return std::max(livePeers(now).size(), addressCount) + 1;
}

StoreFollowing::Peers FleetMembership::storeFollowingPeers(TimePoint now) const
{
    StoreFollowing::Peers peers { .followers = isFullMesh() ? followersOfSmallSite : followersPerDomain };
    auto live = livePeers(now);
    bool isRelayed = !isFullMesh() && std::any_of(live.begin(), live.end(), [&](const auto* it) { return it->heartbeat.readsDigests && it->heartbeat.domain == m_domain; });
    for (const auto* it : live) {
        const auto& heartbeat = it->heartbeat;
        bool isCandidate = isFullMesh() || heartbeat.domain == m_domain;
        if (!isCandidate || heartbeat.leaving)
            continue;
        bool precedes = heartbeat.from.instance < m_self.instance;
        peers.preceding += precedes ? 1 : 0;
        if (heartbeat.storeAge < Milliseconds(0))
            continue;
        auto age = now - it->lastHeardAt + heartbeat.storeAge;
        if (heartbeat.storeReachable) {
            peers.precedingReaching += precedes ? 1 : 0;
            peers.areReplied = peers.areReplied || age < maxFollowerStoreAge;
        }
        // A hub that the store turns away has its changes from another one.
        peers.areReplied = peers.areReplied || (isRelayed && age < maxHubStoreAge);
    }
    // Where hubs relay, they are the followers.
    if (isRelayed) {
        peers.isHub = m_relay.isAmongHubs();
        peers.followers = 0;
        peers.precedingReaching = 0;
    }
    return peers;
}

bool FleetMembership::shouldFollowStore(TimePoint now) { return m_storeFollowing.shouldFollow(storeFollowingPeers(now), now); }

bool FleetMembership::reachesStore(const FleetPeer& peer, TimePoint now) const
{
    const auto& heartbeat = peer.heartbeat;
    return heartbeat.storeReachable && heartbeat.storeAge >= Milliseconds(0) && now - peer.lastHeardAt + heartbeat.storeAge <= maxStoreSilence;
}

TimePoint FleetMembership::lastReplyAt(std::int64_t storeRevision, TimePoint now) const
{
    TimePoint last;
    for (const auto* it : livePeers(now)) {
        if (it->heartbeat.storeAge >= Milliseconds(0) && it->heartbeat.storeRevision <= storeRevision)
            last = std::max(last, it->lastHeardAt - it->heartbeat.storeAge);
    }
    return last;
}

bool FleetMembership::isStoreServing(TimePoint now) const
{
    auto hasRecentCopy = [&](const FleetPeer& it) { return it.heartbeat.storeAge >= Milliseconds(0) && now - it.lastHeardAt + it.heartbeat.storeAge <= maxRelayedStoreAge; };
    auto live = livePeers(now);
    return std::any_of(live.begin(), live.end(), [&](const auto* it) { return reachesStore(*it, now) || (!isFullMesh() && hasRecentCopy(*it)); });
}

bool FleetMembership::hearsMostPeers(TimePoint now) const
{
    auto live = livePeers(now);
    bool hearsAny = std::any_of(live.begin(), live.end(), [&](const auto* it) { return isFullMesh() || now - it->lastHeardAt <= relayedLifetime; });
    auto recent = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& it) { return !it.second.heartbeat.leaving && now - it.second.lastHeartbeatAt <= recentPeerTime; });
    return hearsAny && 2 * std::ssize(live) >= recent;
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
