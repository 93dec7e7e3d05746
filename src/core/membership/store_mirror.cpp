#include "core/membership/store_mirror.h"

#include "core/bounded_document.h"
#include "core/membership/store_revision.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace skylarkhitch {

using Json = nlohmann::json;

namespace {

    std::size_t bytesOf(const StoreChange& change) { return change.key.size() + (change.value ? change.value->size() : 0); }

}

std::string encodeUpdate(const MirrorUpdate& update)
{
    Json changes = Json::array();
    for (const auto& it : update.changes)
        changes.push_back(Json::array({ it.key, it.revision, it.value ? Json::binary({ it.value->begin(), it.value->end() }) : Json() }));
    std::string bytes;
    Json::to_cbor(Json::array({ update.revision, update.isSnapshot, std::move(changes) }), bytes);
    return bytes;
}

std::optional<MirrorUpdate> decodeUpdate(const std::string& bytes)
{
    try {
        auto json = parseCbor(bytes);
        MirrorUpdate update { integerFrom(json.at(0), { 0, maxRevision }), json.at(1), {} };
        for (const auto& it : json.at(2)) {
            StoreChange change { it.at(0), integerFrom(it.at(1), { 0, maxRevision }), {} };
            if (!it.at(2).is_null()) {
                const auto& value = it.at(2).get_binary();
                change.value = std::string(value.begin(), value.end());
            }
            update.changes.push_back(std::move(change));
        }
        return update;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

bool StoreMirror::applyUpdate(const MirrorUpdate& update)
{
    if (update.revision <= m_revision && m_revision != 0)
        return false;
    bool isOtherEra = eraOf(update.revision) != eraOf(m_revision);
    if (m_revision == 0 || isOtherEra)
        m_newsRevision = update.revision;
    if (update.isSnapshot)
        applySnapshot(update);
    else {
        for (const auto& it : update.changes)
            applyChange(it);
    }
    m_revision = update.revision;
    return true;
}

MirrorUpdate StoreMirror::changesSince(std::int64_t revision) const
{
    MirrorUpdate update { m_revision, false, {} };
    if (revision > 0 && revision >= m_historyAfter) {
        std::set<std::string_view> keys;
        for (auto it = m_history.rbegin(); it != m_history.rend(); ++it) {
            if (it->revision > revision && keys.insert(it->key).second)
                update.changes.push_back(*it);
        }
        std::reverse(update.changes.begin(), update.changes.end());
        return update;
    }
    update.isSnapshot = true;
    for (const auto& [key, item] : m_items)
        update.changes.push_back({ key, item.revision, item.value });
    return update;
}

const StoreMirror::Item* StoreMirror::find(const std::string& key) const
{
    auto it = m_items.find(key);
    return it == m_items.end() ? nullptr : &it->second;
}

void StoreMirror::applyChange(const StoreChange& change)
{
    if (change.revision <= m_revision)
        return;
    auto it = m_items.find(change.key);
    // A snapshot may have included this change already. It still goes into the history, from which peers get their changes.
    bool isNew = it == m_items.end() || it->second.revision < change.revision;
    if (isNew && change.value) {
        if (!write(change.key, { *change.value, change.revision }))
            return;
    } else if (isNew && it != m_items.end()) {
        m_items.erase(it);
        m_observer(change.key, nullptr);
    }
    m_newsRevision = std::max(m_newsRevision, change.revision);
    remember(change);
}

void StoreMirror::remember(const StoreChange& change)
{
    m_history.push_back(change);
    m_historyBytes += bytesOf(change);
    while (m_history.size() > maxHistory || m_historyBytes > maxHistoryBytes) {
        m_historyAfter = m_history.front().revision;
        m_historyBytes -= bytesOf(m_history.front());
        m_history.pop_front();
    }
}

bool StoreMirror::write(const std::string& key, Item item)
{
    auto [it, isAdded] = m_items.try_emplace(key);
    bool isRenewal = !isAdded && m_renewals.isRenewal && m_renewals.isRenewal(key, it->second.value, item.value);
    it->second = std::move(item);
    (isRenewal ? m_renewals.observer : m_observer)(key, &it->second);
    return !isRenewal;
}

void StoreMirror::applySnapshot(const MirrorUpdate& update)
{
    std::set<std::string> kept;
    for (const auto& it : update.changes) {
        kept.insert(it.key);
        auto known = m_items.find(it.key);
        bool isKnown = known != m_items.end() && known->second.revision >= it.revision;
        if (it.value && !isKnown && write(it.key, { *it.value, it.revision }))
            m_newsRevision = update.revision;
    }
    for (auto it = m_items.begin(); it != m_items.end();) {
        if (kept.contains(it->first)) {
            ++it;
            continue;
        }
        auto key = it->first;
        it = m_items.erase(it);
        m_newsRevision = update.revision;
        m_observer(key, nullptr);
    }
    m_history.clear();
    m_historyBytes = 0;
    m_historyAfter = update.revision;
}

}
