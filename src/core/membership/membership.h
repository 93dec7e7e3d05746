#pragma once

// Membership of the entry instances. An instance is a member while its heartbeats arrive. When they stop, it is first
// suspected (it gets no new callers) and later removed. A leaving instance goes on serving but gets no new callers.

#include "core/messages.h"

#include <map>

namespace skylarkhitch {

struct MembershipSettings {
    Milliseconds heartbeatPeriod { 500 };
    // Times without a heartbeat after which a member is suspected and removed.
    Milliseconds suspectAfter { 1600 };
    Milliseconds removeAfter { 5000 };
};

enum class MemberState { Live,
    Suspected,
    Leaving };

// Another instance with its last heartbeat.
struct Member {
    Incarnation incarnation;
    MemberState state = MemberState::Live;
    Heartbeat heartbeat;
    TimePoint lastHeartbeatAt;
};

class Membership {
public:
    Membership(Incarnation self, DomainId, std::string entryAddress, MembershipSettings);

    // Processes a heartbeat. Returns false if it is not newer than the last one of the instance.
    bool onHeartbeat(const Incarnation&, const Heartbeat&, TimePoint, Outbox&);

    // Marks members without recent heartbeats as suspected or removes them. Returns the removed ones.
    std::vector<InstanceId> wake(TimePoint, Outbox&);

    // Sets the instances that the platform lists. They get heartbeats even if none has arrived from them.
    void setListedInstances(const std::vector<InstanceId>&);
    // Whether the platform's list was read. Before that, missing instances are unknown.
    bool hasInstanceList() const { return m_hasInstanceList; }
    // Listed instances that are not members: no heartbeat has arrived, or they were removed.
    std::vector<InstanceId> missingInstances() const;

    // Live instances, including this one; never empty. The writers of ledger shards and the watchers of the configuration
    // are chosen from them.
    std::vector<InstanceId> writers() const;
    // The other instances that get heartbeats: all that are listed or are members.
    std::vector<InstanceId> peers() const;
    // Live peers in other failure domains, at most one of each domain, in rendezvous order for the key.
    std::vector<InstanceId> peersInOtherDomains(const std::string& key) const;
    // Fraction of peers() that are members and not suspected, 0 to 1; 1 if there are no peers.
    double reachableShare() const;

    const std::map<InstanceId, Member>& members() const { return m_members; }
    const Incarnation& self() const { return m_self; }
    const DomainId& domain() const { return m_domain; }
    const std::string& entryAddress() const { return m_entryAddress; }
    const MembershipSettings& settings() const { return m_settings; }

private:
    Incarnation m_self;
    DomainId m_domain;
    std::string m_entryAddress;
    MembershipSettings m_settings;
    std::map<InstanceId, Member> m_members;
    std::vector<InstanceId> m_listedInstances;
    bool m_hasInstanceList = false;
};

}
