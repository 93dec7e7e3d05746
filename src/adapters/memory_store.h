#pragma once

// A key-value store in the daemon's own memory, for an instance that runs without a platform. It keeps nothing when
// the process ends.

#include "ports/key_value_store.h"

#include <map>
#include <mutex>

namespace skylarkhitch {

class MemoryStore final : public KeyValueStore {
public:
    void call(const StoreCall&, Reply) override;

private:
    StoreReply answer(const StoreCall&);
    StoreReply swap(const StoreCall&);

    std::mutex m_mutex;
    std::map<std::string, StoreItem> m_items;
    std::uint64_t m_revision = 0;
    // Watches that wait for a key to change. Nothing but this process writes, so they are few.
    std::vector<std::pair<StoreCall, Reply>> m_watches;
};

}
