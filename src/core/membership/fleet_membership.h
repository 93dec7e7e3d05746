#pragma once

// The other instances of the edge daemon, as known from their heartbeats. An instance is live while its heartbeats arrive.
// One that is leaving or not ready stays a peer but gets no new callers.
//
// In a small site every instance sends heartbeats to all others. In a large one each instance sends them to the hubs of its own
// failure domain and gets digests of the whole site in return, see fleet_relay.h. Instances of earlier versions and addresses from
// which nothing was heard yet get heartbeats in rotation, most of them in the own domain: traffic between domains is charged.

#include "core/membership/fleet_relay.h"
#include "core/membership/listed_instances.h"
#include "core/membership/store_following.h"

#include <absl/container/flat_hash_map.h>
#include <set>

namespace skylarkhitch {

// An instance with its last heartbeat and when that arrived.
struct FleetPeer {
    // Without what hubs do not relay, if it was not heard directly.
    FleetHeartbeat heartbeat;
    // When the last one arrived here, or at an instance that told of it.
    TimePoint lastHeartbeatAt;
    // When the last one arrived here; TimePoint {} if none did.
    TimePoint lastHeardAt;
    // When the incarnation became known.
    TimePoint knownSince;
};

class FleetMembership {
public:
    // Time between two heartbeats.
    static constexpr Milliseconds heartbeatPeriod { 250 };
    // An instance is no longer live when this many consecutive heartbeats to this instance are missing. More than one,
    // since datagrams may be lost.
    static constexpr int maxMissedHeartbeats = 4;
    // Time that a heartbeat may be late before it counts as missing.
    static constexpr Milliseconds heartbeatMargin { 100 };
    // Time without a heartbeat from a peer after which its address gets none either, unless it is a seed address, is in the
    // platform's list or is named in a newer heartbeat of another peer.
    static constexpr Milliseconds addressRetention { 20000 };
    // Number of peers up to which every heartbeat goes to all of them. In a larger site, the maximum number of peers of the
    // own domain that get each heartbeat.
    static constexpr std::size_t maxReceivers = 24;
    // Number of peers in other domains that get each heartbeat in a larger site.
    static constexpr std::size_t otherDomainReceivers = 3;
    // Number of peers in the own domain, and in others, that read digests but are not live, and that get each heartbeat in a larger
    // site: parts of a site that were cut off from each other find each other again.
    static constexpr std::size_t silentReceivers = 2;
    // How long an instance that reads digests is live after its last heartbeat, in a large site: in the own domain it reaches a hub
    // twice a second, and the hub tells the domain twice a second. What hubs of other domains tell is passed on in parts.
    static constexpr Milliseconds relayedLifetime { 2100 };
    static constexpr Milliseconds relayedLifetimeElsewhere { 4600 };
    // Peers that were live within this time are missed.
    static constexpr Milliseconds recentPeerTime { 60000 };
    // Peers that were not live for longer are not told to others.
    static constexpr Milliseconds relayedRetention { 10000 };
    // Number of instances in a domain that follow the store, that is, read its changes as they occur. The other instances
    // of the domain get the changes from a peer.
    static constexpr std::size_t followersPerDomain = 2;
    // The same for a small site as a whole.
    static constexpr std::size_t followersOfSmallSite = 3;
    // Others take the place of followers if no peer in the domain (or small site) that reaches the store had a reply from it within
    // this time. Followers get a reply every second.
    static constexpr Milliseconds maxFollowerStoreAge { 1400 };
    // The same for hubs, which may have it from each other.
    static constexpr Milliseconds maxHubStoreAge { 2900 };
    // An instance that has had no reply for longer is no evidence that the store is reachable. Those that do not follow the store
    // have one every 2.5 s.
    static constexpr Milliseconds maxStoreSilence { 2900 };

    // A hub that the store turns away has a copy that is at most this old if the store serves hubs of other domains: these have a
    // reply every second, and the hubs tell each other and their domains twice a second.
    static constexpr Milliseconds maxRelayedStoreAge { 2100 };

    // The capacity is in hundredths of a processor core.
    FleetMembership(Incarnation self, DomainId domain, std::string ownPeerAddress, std::int64_t capacity = 0)
        : m_self(std::move(self))
        , m_domain(std::move(domain))
        , m_ownAddress(std::move(ownPeerAddress))
        , m_relay(m_self, m_domain, m_ownAddress, capacity)
    {
    }

    // Processes a heartbeat. Returns false if it is this instance's own, or not newer than the last one of the peer.
    bool onHeartbeat(const FleetHeartbeat&, TimePoint now);
    // Adds an address from the settings. It gets heartbeats even if none has arrived from it.
    void addSeedAddress(const std::string& peerAddress);
    // Replaces the addresses from the platform's list of instances.
    void setListedPeers(std::map<std::string, DomainId> peers) { m_listedPeers = std::move(peers); }

    std::vector<const FleetPeer*> livePeers(TimePoint now) const;
    // Returns the addresses that get the next heartbeat without asking for a digest, and advances the rotation.
    std::vector<std::string> nextReceivers(TimePoint now);
    // Returns those that are asked for a digest or get one; to be called after nextReceivers(). None in a small site.
    FleetRelay::Targets nextTargets(TimePoint now);
    // Returns the addresses that get a heartbeat between the regular ones: all peers of a small site. In a large one the hubs, and of a
    // hub those to which it relays.
    std::vector<std::string> urgentReceivers(TimePoint now);
    enum class DigestScope { OwnDomain,
        WholeSite,
        // With all identities, not only those that are new and a few others.
        WholeSiteForNewMembers };
    FleetDigest digest(const FleetHeartbeat& own, DigestScope, TimePoint now);
    // Remembers a heartbeat that is sent.
    void sent(const FleetHeartbeat& own) { m_relay.sent(own); }
    // Requests in flight of all other live instances, as far as known.
    std::map<UpstreamId, UpstreamWork> peerWork(TimePoint now) const;
    // Results at all instances, given this one's own. Includes the last ones of peers that are no longer live.
    ReleaseEvidence siteEvidence(const ReleaseEvidence& own, TimePoint now) const;
    // Crash counts of the peers, by request fingerprint.
    CrashCounts peerCrashes(TimePoint now) const;
    // The same by process, with those that are heard directly and have none, which withdraws what they told before.
    std::map<Incarnation, CrashCounts::mapped_type> crashesByProcess(TimePoint now) const;
    bool isHub() const { return m_relay.isHub(); }
    // Whether peers learn from this instance what it learns from others.
    bool passesOnNews() const { return isFullMesh() || isHub(); }
    // All peers that have sent a heartbeat, live or not.
    const std::map<InstanceId, FleetPeer>& peers() const { return m_peers; }
    // Number of known instances, including this one.
    std::size_t size(TimePoint now) const;
    // Whether each heartbeat goes to all known peers.
    bool isFullMesh() const { return m_ownDomainPeers + m_otherDomainPeers <= maxReceivers; }
    // Whether this instance should follow the store itself: a few instances of a small site, and of each domain of a large one, and
    // others in turn while these lack replies of the store.
    bool shouldFollowStore(TimePoint now);
    // Whether the peer has had a recent store reply.
    bool reachesStore(const FleetPeer&, TimePoint now) const;
    // When the store last replied to a live peer whose copy has at most this revision, or to an instance from which that peer has its
    // copy; TimePoint {} if no reply is known.
    TimePoint lastReplyAt(std::int64_t storeRevision, TimePoint now) const;
    // Whether the store serves anyone, as far as the live peers know. An instance of a large site hears only its hubs, and these may
    // be turned away by a store that serves others; their copy is recent then.
    bool isStoreServing(TimePoint now) const;
    // Whether heartbeats arrive here, not only news of peers in those of others, and at least half of the peers that were live lately
    // still are. Else this instance, perhaps with some others, may be cut off from the rest.
    bool hearsMostPeers(TimePoint now) const;
    // Returns the live peer with the highest mirror revision above the given one, or null if there is none. A peer of the
    // own domain comes before all others.
    const FleetPeer* peerAheadOf(std::int64_t storeRevision, TimePoint now) const;
    // Returns a live peer whose configuration is the latest of all and later than the given version, or null if there is none.
    const FleetPeer* peerWithLaterConfiguration(std::int64_t version, TimePoint now) const;

    bool isLive(const FleetPeer&, TimePoint now) const;

private:
    static constexpr std::size_t maxNewIdentities = 128;
    static constexpr std::size_t identitiesInTurn = 4;
    // Identities count as new for this long.
    static constexpr Milliseconds newIdentityTime { 5000 };
    // Parts in which digests tell of the instances of other domains. An odd number, since a member gets every second digest.
    static constexpr std::size_t otherDomainParts = 3;
    // Instances of which crashes are kept that hubs told, and for how long after they last did. A hub tells twice a second, and its
    // domain forgets one such time after it.
    static constexpr std::size_t maxRelayedCrashes = 64;
    static constexpr Milliseconds relayedCrashTime { 2500 };

    // What the peers tell that matters to StoreFollowing.
    StoreFollowing::Peers storeFollowingPeers(TimePoint now) const;
    // Takes in the part of a heartbeat that concerns relaying.
    void learnRelayed(const FleetHeartbeat&, TimePoint now);
    void learn(const FleetDigest&, bool isOwnDomain, TimePoint now);
    // Whether what the peer last said of crashes is recent. Heartbeats come from it, not only news of it in those of others.
    bool isHeard(const FleetPeer&, TimePoint now) const;
    // Crash counts of the peers heard directly.
    CrashCounts heardCrashes(TimePoint now) const;
    void learnIdentity(const InstanceIdentity&, TimePoint now);
    LivenessRow rowOf(const FleetPeer&, TimePoint now) const;
    // The heartbeats of peers heard directly, whose requests in flight and results go into the sums of the own domain.
    std::vector<const FleetHeartbeat*> summedPeers(TimePoint now) const;
    // The instance with this address if it reads digests, or null.
    const FleetPeer* findReader(const std::string& address) const;
    // Addresses of all peers with their domains; a domain is empty if it is unknown.
    std::map<std::string, DomainId> addresses(TimePoint now) const;

    Incarnation m_self;
    DomainId m_domain;
    std::string m_ownAddress;
    std::map<InstanceId, FleetPeer> m_peers;
    std::set<std::string> m_seedAddresses;
    std::map<std::string, DomainId> m_listedPeers;
    // The addresses of all peers, and the number of peers in the own domain and in others, when the last heartbeat was sent. isLive() derives from them how
    // often each peer sends heartbeats to this instance.
    std::map<std::string, DomainId> m_addresses;
    std::size_t m_ownDomainPeers = 0;
    std::size_t m_otherDomainPeers = 0;
    // Positions of the rotation in nextReceivers().
    std::size_t m_ownDomainNext = 0;
    std::size_t m_otherDomainNext = 0;
    std::size_t m_silentNext = 0;
    std::size_t m_silentOthersNext = 0;
    FleetRelay m_relay;
    StoreFollowing m_storeFollowing;
    // The instances by the key of their last incarnation, and those that read digests by their address.
    absl::flat_hash_map<std::uint32_t, InstanceId> m_keys;
    absl::flat_hash_map<std::string, InstanceId> m_readers;
    // Addresses of instances of earlier versions.
    std::set<std::string> m_olderAddresses;
    struct RelayedCrashes {
        std::map<std::string, std::int64_t> crashes;
        bool isFromOwnDomain = false;
        TimePoint at;
    };
    std::map<InstanceId, RelayedCrashes> m_relayedCrashes;
    // Number of digests of the whole site, and of all digests.
    std::size_t m_siteDigests = 0;
    std::size_t m_digests = 0;
};

}
