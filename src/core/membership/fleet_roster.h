#pragma once

// The other instances as their beats show them. An instance is live while its beats come; one that says that it leaves
// or is not ready stays a peer but gets no new callers.

#include "core/membership/fleet_beat.h"

#include <set>

namespace skylarkhitch {

struct FleetPeer {
    FleetBeat beat;
    TimePoint heardAt;
};

class FleetRoster {
public:
    // Time between two beats.
    static constexpr Milliseconds beatPeriod { 250 };
    // Silence after which an instance counts as gone: four beats, since single datagrams are lost.
    static constexpr Milliseconds liveFor { 1100 };
    // Silence after which an address gets no more beats, unless the settings or the store name it.
    static constexpr Milliseconds rememberedFor { 20000 };
    // Peers that get each beat; with more, each beat goes to some of them in turn.
    static constexpr std::size_t mostReceivers = 24;

    explicit FleetRoster(Incarnation self, std::string ownPeerAddress)
        : m_self(std::move(self))
        , m_ownAddress(std::move(ownPeerAddress))
    {
    }

    // Takes a beat; false if it is this instance's own, or older than one already taken.
    bool heard(const FleetBeat&, TimePoint now);
    // Names an address to send beats to before anything was heard from it.
    void expect(const std::string& peerAddress);
    // The platform's list names these addresses now, in place of those that it named before.
    void list(std::set<std::string> peerAddresses) { m_listed = std::move(peerAddresses); }

    std::vector<const FleetPeer*> live(TimePoint now) const;
    // Addresses for the next beat.
    std::vector<std::string> receivers(TimePoint now);
    // Every peer of which counters are known, live or not.
    const std::map<InstanceId, FleetPeer>& peers() const { return m_peers; }
    // The live peer whose copy of the store is furthest ahead of a revision, or null.
    const FleetPeer* aheadOf(std::int64_t storeRevision, TimePoint now) const;

private:
    Incarnation m_self;
    std::string m_ownAddress;
    std::map<InstanceId, FleetPeer> m_peers;
    std::set<std::string> m_expected;
    std::set<std::string> m_listed;
    std::size_t m_turn = 0;
};

}
