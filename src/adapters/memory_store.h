#pragma once

// An in-memory key-value store for an instance that runs without a platform. Its contents are lost when the process ends.

#include "ports/key_value_store.h"

#include <map>
#include <mutex>

namespace skylarkhitch {

class MemoryStore final : public KeyValueStore {
public:
    // Runs the callbacks on the calling thread: that of this call and those of watches that it ends.
    void call(const StoreCall&, ReplyCallback) override;

private:
    StoreReply execute(const StoreCall&);
    StoreReply compareAndSwap(const StoreCall&);

    // Not held while callbacks run.
    std::mutex m_mutex;
    std::map<std::string, StoreItem> m_items;
    std::uint64_t m_revision = 0;
    // Pending watches. Each gets its reply at the next compare-and-swap on its key, even one that fails; there is no timeout.
    // Watches are few, since only this process uses the store.
    std::vector<std::pair<StoreCall, ReplyCallback>> m_watches;
};

}
