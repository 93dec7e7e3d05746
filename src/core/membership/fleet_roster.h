#pragma once

// The other instances as their beats show them. An instance is live while its beats come; one that says that it leaves
// or is not ready stays a peer but gets no new callers.
//
// A small site is a full mesh. In a large one each beat goes to the peers of the own failure domain and to a few others in
// turn: loads and addresses matter most near by, and bytes between domains are priced.

#include "core/membership/fleet_beat.h"

#include <set>

namespace skylarkhitch {

// A peer as the platform's list names it.
struct ListedPeer {
    std::string address;
    DomainId domain;
};

struct FleetPeer {
    FleetBeat beat;
    TimePoint heardAt;
};

class FleetRoster {
public:
    // Time between two beats.
    static constexpr Milliseconds beatPeriod { 250 };
    // Beats that may be missing before an instance counts as gone, since single datagrams are lost.
    static constexpr int missingBeats = 4;
    static constexpr Milliseconds beatMargin { 100 };
    // Silence after which an address gets no more beats, unless the settings or the store name it.
    static constexpr Milliseconds rememberedFor { 20000 };
    // Peers up to which a site is a full mesh, and those of the own domain that get each beat.
    static constexpr std::size_t mostReceivers = 24;
    // Peers of other domains that get each beat beyond that size.
    static constexpr std::size_t farReceivers = 3;
    // Instances of a domain that follow the store for the others.
    static constexpr std::size_t followersInDomain = 2;
    // Age of the followers' last word of the store at which an instance follows it by itself. Followers hear from the
    // store every second.
    static constexpr Milliseconds followerSilence { 1400 };

    FleetRoster(Incarnation self, DomainId domain, std::string ownPeerAddress)
        : m_self(std::move(self))
        , m_domain(std::move(domain))
        , m_ownAddress(std::move(ownPeerAddress))
    {
    }

    // Takes a beat; false if it is this instance's own, or older than one already taken.
    bool heard(const FleetBeat&, TimePoint now);
    // Names an address to send beats to before anything was heard from it.
    void expect(const std::string& peerAddress);
    // The platform's list names these addresses now, in place of those that it named before.
    void list(std::map<std::string, DomainId> peers) { m_listed = std::move(peers); }

    std::vector<const FleetPeer*> live(TimePoint now) const;
    // Addresses for the next beat.
    std::vector<std::string> receivers(TimePoint now);
    // Every peer of which counters are known, live or not.
    const std::map<InstanceId, FleetPeer>& peers() const { return m_peers; }
    // Instances that are known to run, this one included.
    std::size_t size(TimePoint now) const;
    // Whether this instance should follow the store itself: in a small site always, in a large one as one of its
    // domain's followers or in place of silent ones.
    bool shouldFollowStore(TimePoint now) const;
    // A live peer whose copy of the store is ahead of a revision, one of the own domain if there is any, or null.
    const FleetPeer* aheadOf(std::int64_t storeRevision, TimePoint now) const;

private:
    bool isLive(const FleetPeer&, TimePoint now) const;
    // Addresses of all peers, with their domains as far as they are known.
    std::map<std::string, DomainId> addresses(TimePoint now) const;

    Incarnation m_self;
    DomainId m_domain;
    std::string m_ownAddress;
    std::map<InstanceId, FleetPeer> m_peers;
    std::set<std::string> m_expected;
    std::map<std::string, DomainId> m_listed;
    // Peers of either kind at the last beat: how often one hears from another follows from it.
    std::size_t m_near = 0;
    std::size_t m_far = 0;
    std::size_t m_nearTurn = 0;
    std::size_t m_farTurn = 0;
};

}
