#include "core/routing/domain_evacuation.h"

#include "core/bounded_document.h"
#include "core/hashing.h"
#include "core/membership/store_revision.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

using Json = nlohmann::json;

Json toJson(const std::vector<KeptEvacuation>& evacuations)
{
    Json rows = Json::array();
    for (const auto& it : evacuations)
        rows.push_back(Json::array({ it.domain.value, it.revision, it.missingFor.count() }));
    return rows;
}

std::vector<KeptEvacuation> keptEvacuationsFrom(const Json& rows)
{
    std::vector<KeptEvacuation> evacuations;
    for (const auto& it : rows)
        evacuations.push_back({ { it.at(0) }, clampedIntegerFrom(it.at(1), { 0, maxRevision }), ageFrom(it.at(2)) });
    return evacuations;
}

std::optional<TimePoint> DomainAvailability::refilledAt(const DomainId& domain, TimePoint now) const
{
    auto it = returnedAt.find(domain);
    if (it == returnedAt.end() || now >= it->second + refillTime)
        return std::nullopt;
    return it->second + refillTime;
}

bool DomainAvailability::isRefilled(const DomainId& domain, const UpstreamId& upstream, const InstanceId& instance, TimePoint now) const
{
    auto end = refilledAt(domain, now);
    if (!end)
        return true;
    auto left = std::chrono::duration<double>(*end - now) / std::chrono::duration<double>(refillTime);
    return unitHash(upstream.value, instance.value) >= left;
}

DomainEvacuations::Change DomainEvacuations::ordered(const DomainId& domain, std::int64_t revision, TimePoint now)
{
    auto withdrawn = m_withdrawn.find(domain);
    bool isFromCopy = withdrawn != m_withdrawn.end() && now - withdrawn->second.at <= withdrawalRetention && eraOf(revision) > eraOf(withdrawn->second.revision) && storeRevision(revision) == storeRevision(withdrawn->second.revision);
    if (isFromCopy)
        return Change::Outdated;
    bool isKnown = m_orders.contains(domain);
    evacuate(domain, { revision, std::nullopt });
    return isKnown ? Change::Repeated : Change::Evacuated;
}

DomainEvacuations::Change DomainEvacuations::removed(const DomainId& domain, bool isLostWithCopy, TimePoint now)
{
    auto it = m_orders.find(domain);
    if (it == m_orders.end())
        return Change::None;
    if (isLostWithCopy) {
        it->second.missingSince = now;
        return Change::Kept;
    }
    withdraw(domain, now);
    return Change::Returned;
}

DomainEvacuations::Change DomainEvacuations::learn(const KeptEvacuation& kept, TimePoint now)
{
    if (kept.missingFor > repetitionTime || m_orders.contains(kept.domain))
        return Change::None;
    auto withdrawn = m_withdrawn.find(kept.domain);
    if (withdrawn != m_withdrawn.end() && withdrawn->second.revision >= kept.revision)
        return Change::None;
    evacuate(kept.domain, { kept.revision, now - kept.missingFor });
    return Change::Evacuated;
}

std::vector<DomainId> DomainEvacuations::expire(TimePoint now)
{
    std::vector<DomainId> ended;
    for (const auto& [domain, it] : m_orders) {
        if (it.missingSince && now - *it.missingSince > repetitionTime)
            ended.push_back(domain);
    }
    for (const auto& it : ended)
        withdraw(it, now);
    std::erase_if(m_withdrawn, [&](const auto& it) { return now - it.second.at > withdrawalRetention; });
    std::erase_if(m_availability.returnedAt, [&](const auto& it) { return now - it.second > DomainAvailability::refillTime; });
    return ended;
}

std::vector<KeptEvacuation> DomainEvacuations::kept(TimePoint now) const
{
    std::vector<KeptEvacuation> evacuations;
    for (const auto& [domain, it] : m_orders) {
        if (it.missingSince && evacuations.size() < maxSent)
            evacuations.push_back({ domain, it.revision, std::max(Milliseconds(0), toMilliseconds(now - *it.missingSince)) });
    }
    return evacuations;
}

void DomainEvacuations::evacuate(const DomainId& domain, const Order& order)
{
    m_orders[domain] = order;
    m_withdrawn.erase(domain);
    m_availability.evacuated.insert(domain);
    m_availability.returnedAt.erase(domain);
}

void DomainEvacuations::withdraw(const DomainId& domain, TimePoint now)
{
    auto order = m_orders.extract(domain);
    m_withdrawn[domain] = { order.mapped().revision, now };
    m_availability.evacuated.erase(domain);
    m_availability.returnedAt[domain] = now;
}

bool yieldsRoom(const RemainingRoom& room, std::int64_t rank)
{
    return rank > 0 && (room.requests - room.slots) * rank > room.slots;
}

}
