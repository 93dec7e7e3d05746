#pragma once

// The part of an instance in relaying the state of others in a large site: which hubs it asks, which instances ask it, and the sums
// that it knows. It is a hub if its domain's instances or other hubs take it for one, whatever it thinks itself.

#include "core/membership/fleet_heartbeat.h"
#include "core/membership/hub_choice.h"

#include <deque>
#include <optional>
#include <set>

namespace skylarkhitch {

class FleetRelay {
public:
    // An instance that asked for digests gets them for this long.
    static constexpr Milliseconds subscriptionTime { 2600 };
    // Sums of requests in flight that are older are not used.
    static constexpr Milliseconds maxSumsAge { 1600 };
    // The same for results in a digest of the whole site. Of another domain the last ones are used, however old.
    static constexpr Milliseconds maxEvidenceAge { 5000 };

    // The peers of each domain that may be hubs.
    using Candidates = std::map<DomainId, std::vector<HubChoice::Instance>>;
    // Where the next heartbeat goes.
    struct Targets {
        // Hubs of the own domain.
        std::vector<std::string> hubs;
        // Instances of the own domain that asked; they get a digest of the whole site, those that are new with all identities.
        std::vector<std::string> members;
        std::vector<std::string> newMembers;
        // Hubs of other domains; they get a digest of the own domain, and are asked for one.
        std::vector<std::string> otherHubs;
        // Instances of other domains that asked, but are no hubs in this one's view; they get a digest of the own domain. They are not
        // asked in return: two that took each other for hubs for a moment would go on for ever.
        std::vector<std::string> otherSubscribers;
    };

    // The capacity is in hundredths of a processor core.
    FleetRelay(Incarnation self, DomainId domain, std::string ownAddress, std::int64_t capacity)
        : m_self(std::move(self))
        , m_domain(std::move(domain))
        , m_ownAddress(std::move(ownAddress))
        , m_capacity(capacity)
    {
    }

    // Takes in a peer's heartbeat.
    void onHeartbeat(const FleetHeartbeat&, TimePoint now);
    // Returns the receivers of the next regular heartbeat. In turn, half of the hubs and of those that asked get each one.
    Targets nextTargets(const Candidates&, TimePoint now);
    // Returns all of them, for a heartbeat that is sent between the regular ones, without a digest.
    std::vector<std::string> allTargets() const;
    // Whether this instance relays for its domain: it takes itself for a hub, or others there do.
    bool isHub() const { return m_isAmongHubs || m_hasMembers; }
    bool isAmongHubs() const { return m_isAmongHubs; }
    // Remembers what was in flight when a heartbeat was sent.
    void sent(const FleetHeartbeat&);

    // Sums of this instance, of the peers heard directly, and of the other domains' hubs if they are asked for.
    FleetSums ownSums(const FleetHeartbeat& own, const std::vector<const FleetHeartbeat*>& ownDomain, bool isWholeSite, TimePoint now) const;
    // Requests in flight at others according to a hub's last digest; nullopt if none is recent or none has more instances.
    std::optional<std::map<UpstreamId, UpstreamWork>> workOfOthers(std::size_t moreThan, TimePoint now) const;
    // Results at all instances according to the last digest; null if none is recent or none has more instances.
    const ReleaseEvidence* evidence(std::size_t moreThan, TimePoint now) const;

private:
    struct ReceivedSums {
        FleetSums sums;
        TimePoint at;
        // The last heartbeat of this instance that is in the sums.
        std::optional<std::uint16_t> ownSequence;
    };
    struct Subscriber {
        DomainId domain;
        TimePoint askedAt;
        // Which of the heartbeats it gets.
        std::uint64_t turn = 0;
        bool isNew = true;
    };
    struct SentWork {
        std::uint16_t sequence = 0;
        std::map<UpstreamId, UpstreamWork> work;
    };
    static constexpr std::size_t keptSentWork = 16;

    // Keeps the sums of a digest unless a recent one has more instances.
    static void keepBest(ReceivedSums& known, ReceivedSums received);

    Incarnation m_self;
    DomainId m_domain;
    std::string m_ownAddress;
    std::int64_t m_capacity = 0;
    HubChoice m_ownHubs;
    std::map<DomainId, HubChoice> m_otherHubs;
    // The hubs of the own domain and of others when the last regular heartbeat was sent.
    std::set<std::string> m_chosenHubs;
    std::map<std::string, Subscriber> m_subscribers;
    ReceivedSums m_site;
    std::map<DomainId, ReceivedSums> m_domains;
    std::deque<SentWork> m_sentWork;
    std::size_t m_turn = 0;
    bool m_isAmongHubs = false;
    // Instances of the own domain ask this one.
    bool m_hasMembers = false;
};

}
