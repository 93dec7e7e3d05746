#pragma once

// A hash table of bounded size that keeps the entries that were touched last. Entries are in two generations; when the newer one is
// full, it becomes the older one, whose entries are dropped. A touch moves an entry to the newer generation.

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <utility>

namespace skylarkhitch {

template <typename Value>
class GenerationTable {
public:
    explicit GenerationTable(std::size_t maxPerGeneration)
        : m_maxPerGeneration(maxPerGeneration)
    {
    }

    // Returns null if there is no entry.
    const Value* find(std::uint64_t key) const
    {
        for (const auto* generation : { &m_newer, &m_older }) {
            auto it = generation->find(key);
            if (it != generation->end())
                return &it->second;
        }
        return nullptr;
    }

    // Returns the entry, which is created if necessary. The reference is valid until the next touch.
    Value& touch(std::uint64_t key)
    {
        auto it = m_newer.find(key);
        if (it != m_newer.end())
            return it->second;
        if (m_newer.size() >= m_maxPerGeneration)
            m_older = std::exchange(m_newer, {});
        auto& value = m_newer[key];
        auto older = m_older.find(key);
        if (older != m_older.end()) {
            value = std::move(older->second);
            m_older.erase(older);
        }
        return value;
    }

    // Calls change(value) for all entries, and drops those for which it returns false.
    template <typename Change>
    void retainIf(Change change)
    {
        for (auto* generation : { &m_newer, &m_older })
            absl::erase_if(*generation, [&](auto& it) { return !change(it.second); });
    }

    std::size_t size() const { return m_newer.size() + m_older.size(); }

private:
    std::size_t m_maxPerGeneration = 0;
    absl::flat_hash_map<std::uint64_t, Value> m_newer, m_older;
};

}
