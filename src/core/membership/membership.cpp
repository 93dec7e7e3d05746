#include "core/membership/membership.h"

#include "core/hashing.h"

#include <algorithm>

namespace skylarkhitch {

Membership::Membership(Incarnation self, DomainId domain, std::string entryAddress, MembershipSettings settings)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_entryAddress(std::move(entryAddress))
    , m_settings(settings)
{
}

bool Membership::onHeartbeat(const Incarnation& from, const Heartbeat& heartbeat, TimePoint now, Outbox& out)
{
    auto it = m_members.find(from.instance);
    if (it != m_members.end()) {
        const auto& known = it->second;
        if (from.number < known.incarnation.number)
            return false;
        if (from.number == known.incarnation.number && heartbeat.sequence <= known.heartbeat.sequence)
            return false;
    }
    auto state = heartbeat.leaving ? MemberState::Leaving : MemberState::Live;
    if (it == m_members.end() || it->second.state != state)
        out.push_back(StateChanged { "member", from.instance.value, heartbeat.leaving ? "leaving" : "live" });
    m_members[from.instance] = { from, state, heartbeat, now };
    return true;
}

std::vector<InstanceId> Membership::wake(TimePoint now, Outbox& out)
{
    std::vector<InstanceId> removed;
    for (auto it = m_members.begin(); it != m_members.end();) {
        auto silence = now - it->second.lastHeartbeatAt;
        if (silence >= m_settings.removeAfter) {
            out.push_back(StateChanged { "member", it->first.value, "removed" });
            removed.push_back(it->first);
            it = m_members.erase(it);
            continue;
        }
        if (silence >= m_settings.suspectAfter && it->second.state == MemberState::Live) {
            it->second.state = MemberState::Suspected;
            out.push_back(StateChanged { "member", it->first.value, "suspected" });
        }
        ++it;
    }
    return removed;
}

void Membership::setListedInstances(const std::vector<InstanceId>& ids)
{
    m_listedInstances = ids;
    std::erase(m_listedInstances, m_self.instance);
    m_hasInstanceList = true;
}

std::vector<InstanceId> Membership::missingInstances() const
{
    std::vector<InstanceId> ids;
    std::copy_if(m_listedInstances.begin(), m_listedInstances.end(), std::back_inserter(ids), [&](const auto& id) { return !m_members.contains(id); });
    return ids;
}

std::vector<InstanceId> Membership::writers() const
{
    std::vector<InstanceId> ids { m_self.instance };
    for (const auto& [id, member] : m_members) {
        if (member.state == MemberState::Live)
            ids.push_back(id);
    }
    return ids;
}

std::vector<InstanceId> Membership::peers() const
{
    auto ids = m_listedInstances;
    for (const auto& [id, member] : m_members) {
        if (std::find(ids.begin(), ids.end(), id) == ids.end())
            ids.push_back(id);
    }
    return ids;
}

std::vector<InstanceId> Membership::peersInOtherDomains(const std::string& key) const
{
    std::vector<InstanceId> peers;
    std::vector<DomainId> domains { m_domain };
    for (const auto& id : rendezvousOrder(key, writers())) {
        auto it = m_members.find(id);
        if (it == m_members.end() || std::find(domains.begin(), domains.end(), it->second.heartbeat.domain) != domains.end())
            continue;
        domains.push_back(it->second.heartbeat.domain);
        peers.push_back(id);
    }
    return peers;
}

double Membership::reachableShare() const
{
    auto known = peers();
    if (known.empty())
        return 1;
    auto reachable = std::count_if(known.begin(), known.end(), [&](const auto& id) {
        auto it = m_members.find(id);
        return it != m_members.end() && it->second.state != MemberState::Suspected;
    });
    return static_cast<double>(reachable) / static_cast<double>(known.size());
}

}
