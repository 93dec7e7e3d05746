#include "adapters/memory_store.h"

#include <absl/strings/match.h>

namespace skylarkhitch {

void MemoryStore::call(const StoreCall& call, ReplyCallback reply)
{
    std::vector<std::pair<ReplyCallback, StoreReply>> ready;
    {
        std::lock_guard lock(m_mutex);
        auto it = m_items.find(call.key);
        bool unchanged = it == m_items.end() || it->second.revision <= call.expected;
        if (call.operation == StoreOperation::Watch && unchanged) {
            m_watches.emplace_back(call, std::move(reply));
            return;
        }
        ready.emplace_back(std::move(reply), execute(call));
        auto changed = std::partition(m_watches.begin(), m_watches.end(), [&](const auto& w) {
            return call.operation != StoreOperation::CompareAndSwap || w.first.key != call.key;
        });
        for (auto watch = changed; watch != m_watches.end(); ++watch)
            ready.emplace_back(std::move(watch->second), execute(watch->first));
        m_watches.erase(changed, m_watches.end());
    }
    for (auto& [callback, storeReply] : ready)
        callback(std::move(storeReply));
}

StoreReply MemoryStore::execute(const StoreCall& call)
{
    StoreReply reply { call.call, StoreStatus::Ok, {} };
    switch (call.operation) {
    case StoreOperation::CompareAndSwap:
        return compareAndSwap(call);
    case StoreOperation::List:
        for (auto it = m_items.lower_bound(call.key); it != m_items.end() && absl::StartsWith(it->first, call.key); ++it)
            reply.items.push_back(it->second);
        break;
    case StoreOperation::Remove:
        m_items.erase(call.key);
        break;
    case StoreOperation::Get:
    case StoreOperation::Watch:
        if (auto it = m_items.find(call.key); it != m_items.end())
            reply.items.push_back(it->second);
        else
            reply.status = StoreStatus::NotFound;
        break;
    }
    return reply;
}

StoreReply MemoryStore::compareAndSwap(const StoreCall& call)
{
    auto it = m_items.find(call.key);
    auto revision = it == m_items.end() ? 0 : it->second.revision;
    if (revision != call.expected)
        return { call.call, StoreStatus::Conflict, {} };
    auto& item = m_items[call.key];
    item = { call.key, call.value, ++m_revision };
    return { call.call, StoreStatus::Ok, { { call.key, {}, m_revision } } };
}

}
