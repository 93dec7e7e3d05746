#pragma once

// Which entry instances are there. An instance is a member while its heartbeats come; one that falls silent is first
// suspected (it gets no new callers) and later removed. Leaving instances serve on but are not handed out.

#include "core/messages.h"

#include <map>

namespace skylarkhitch {

struct MembershipSettings {
    Milliseconds heartbeatPeriod { 500 };
    Milliseconds suspectAfter { 1600 };
    Milliseconds removeAfter { 5000 };
};

enum class MemberState { Live,
    Suspected,
    Leaving };

struct Member {
    Incarnation incarnation;
    MemberState state = MemberState::Live;
    Heartbeat heartbeat;
    TimePoint heardAt;
};

class Membership {
public:
    Membership(Incarnation self, DomainId, std::string entryAddress, MembershipSettings);

    // Takes a heartbeat; false if it is older than one already taken.
    bool heard(const Incarnation&, const Heartbeat&, TimePoint, Outbox&);

    // Moves silent members on; returns those that were removed.
    std::vector<InstanceId> wake(TimePoint, Outbox&);

    // Names the instances that the platform lists; heartbeats go to them before they were ever heard.
    void expect(const std::vector<InstanceId>&);
    // Whether the platform's list was read at all: before that nobody knows who is missing.
    bool listed() const { return m_listed; }
    // Listed instances of which nothing was heard, or nothing lately enough.
    std::vector<InstanceId> unheard() const;

    // Live instances, this one included; never empty.
    std::vector<InstanceId> writers() const;
    // Every instance that heartbeats go to.
    std::vector<InstanceId> peers() const;
    // Live peers in other failure domains, at most one of each domain, in the key's order of preference.
    std::vector<InstanceId> peersInOtherDomains(const std::string& key) const;
    // Part of the other known instances that was heard lately, 0 to 1; 1 when there is no other.
    double heardShare() const;

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
    std::vector<InstanceId> m_expected;
    bool m_listed = false;
};

}
