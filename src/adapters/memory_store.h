#pragma once

// An in-memory key-value store for an instance that runs without a platform. Its contents are lost when the process ends.

#include "ports/key_value_store.h"

#include <map>
#include <mutex>

namespace skylarkhitch {

class MemoryStore final : public KeyValueStore {
public:
    void call(const StoreCall&, ReplyCallback) override;

private:
    StoreReply execute(const StoreCall&);
    StoreReply compareAndSwap(const StoreCall&);

    std::mutex m_mutex;
    std::map<std::string, StoreItem> m_items;
    std::uint64_t m_revision = 0;
    // Pending watches; each ends with the next compare-and-swap on its key and does not time out. They are few, since only
    // this process uses the store.
    std::vector<std::pair<StoreCall, ReplyCallback>> m_watches;
};

}
