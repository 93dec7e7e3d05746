#pragma once

// The other instances of the edge daemon, as known from their heartbeats. An instance is live while its heartbeats arrive.
// One that is leaving or not ready stays a peer but gets no new callers.
//
// In a small site every instance sends heartbeats to all others. In a large one each heartbeat goes to the peers in the
// instance's own failure domain and to a few other peers in rotation: loads and addresses matter most within a domain,
// and traffic between domains is charged.

#include "core/membership/fleet_heartbeat.h"

#include <set>

namespace skylarkhitch {

// A peer in the platform's list of instances.
struct ListedPeer {
    std::string address;
    DomainId domain;
};

// An instance with its last heartbeat and when that arrived.
struct FleetPeer {
    FleetHeartbeat heartbeat;
    TimePoint lastHeartbeatAt;
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
    // Number of instances in a domain that follow the store, that is, read its changes as they occur. The other instances
    // of the domain get the changes from a peer.
    static constexpr std::size_t followersPerDomain = 2;
    // The same for a small site as a whole.
    static constexpr std::size_t followersOfSmallSite = 3;
    // An instance also follows the store itself if no peer in its domain (or small site) that reaches the store had a reply from
    // it within this time. Followers get a reply every second.
    static constexpr Milliseconds maxFollowerStoreAge { 1400 };
    // An instance that has had no reply for longer is no evidence that the store is reachable. Those that do not follow the store
    // have one every 2.5 s.
    static constexpr Milliseconds maxStoreSilence { 2900 };

    FleetMembership(Incarnation self, DomainId domain, std::string ownPeerAddress)
        : m_self(std::move(self))
        , m_domain(std::move(domain))
        , m_ownAddress(std::move(ownPeerAddress))
    {
    }

    // Processes a heartbeat. Returns false if it is this instance's own, or not newer than the last one of the peer.
    bool onHeartbeat(const FleetHeartbeat&, TimePoint now);
    // Adds an address from the settings. It gets heartbeats even if none has arrived from it.
    void addSeedAddress(const std::string& peerAddress);
    // Replaces the addresses from the platform's list of instances.
    void setListedPeers(std::map<std::string, DomainId> peers) { m_listedPeers = std::move(peers); }

    std::vector<const FleetPeer*> livePeers(TimePoint now) const;
    // Returns the addresses that get the next heartbeat, and advances the rotation.
    std::vector<std::string> nextReceivers(TimePoint now);
    // All peers that have sent a heartbeat, live or not.
    const std::map<InstanceId, FleetPeer>& peers() const { return m_peers; }
    // Number of known instances, including this one.
    std::size_t size(TimePoint now) const;
    // Whether each heartbeat goes to all known peers.
    bool isFullMesh() const { return m_ownDomainPeers + m_otherDomainPeers <= maxReceivers; }
    // Whether this instance should follow the store itself: a few instances of a small site, and of each domain of a large one, and
    // others while none of them has had a recent store reply.
    bool shouldFollowStore(TimePoint now) const;
    // Whether the peer has had a recent store reply.
    bool reachesStore(const FleetPeer&, TimePoint now) const;
    // Returns the live peer with the highest mirror revision above the given one, or null if there is none. A peer of the
    // own domain comes before all others.
    const FleetPeer* peerAheadOf(std::int64_t storeRevision, TimePoint now) const;
    // Returns a live peer whose configuration is the latest of all and later than the given version, or null if there is none.
    const FleetPeer* peerWithLaterConfiguration(std::int64_t version, TimePoint now) const;

private:
    bool isLive(const FleetPeer&, TimePoint now) const;
    // Addresses of all peers with their domains; a domain is empty if it is unknown.
    std::map<std::string, DomainId> addresses(TimePoint now) const;

    Incarnation m_self;
    DomainId m_domain;
    std::string m_ownAddress;
    std::map<InstanceId, FleetPeer> m_peers;
    std::set<std::string> m_seedAddresses;
    std::map<std::string, DomainId> m_listedPeers;
    // Number of peers in the own domain and in others when the last heartbeat was sent. isLive() derives from them how
    // often each peer sends heartbeats to this instance.
    std::size_t m_ownDomainPeers = 0;
    std::size_t m_otherDomainPeers = 0;
    // Positions of the rotation in nextReceivers().
    std::size_t m_ownDomainNext = 0;
    std::size_t m_otherDomainNext = 0;
};

}
