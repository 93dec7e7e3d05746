#pragma once

// Numbers the calls to the key-value service and remembers which module waits for which reply.

#include "core/messages.h"

#include <absl/container/flat_hash_map.h>
#include <functional>

namespace skylarkhitch {

class StoreCalls {
public:
    using Handler = std::function<void(const StoreReply&, TimePoint, Outbox&)>;

    // Sends a call; the handler runs once, when its reply comes.
    void send(StoreCall, Handler, Outbox&);

    // Hands a reply to the module that waits for it; replies that nobody waits for are dropped.
    void reply(const StoreReply&, TimePoint, Outbox&);

    // Whether the newest reply, other than from a watch, said that the store works.
    bool reachable() const { return m_reachable; }
    std::uint64_t sent() const { return m_next; }

private:
    struct Pending {
        StoreOperation operation;
        Handler handler;
    };
    std::uint64_t m_next = 0;
    bool m_reachable = true;
    absl::flat_hash_map<StoreCallId, Pending> m_pending;
};

}
