#pragma once

// Assigns ids to calls to the key-value store and dispatches each reply to the module that made the call.

#include "core/messages.h"

#include <absl/container/flat_hash_map.h>
#include <functional>

namespace skylarkhitch {

class StoreCalls {
public:
    using Handler = std::function<void(const StoreReply&, TimePoint, Outbox&)>;

    // Assigns an id to the call and sends it. The handler runs once, when the reply arrives.
    void send(StoreCall, Handler, Outbox&);

    // Invokes the handler of the call that the reply belongs to; replies to unknown calls are ignored.
    void reply(const StoreReply&, TimePoint, Outbox&);

    // Whether the store was available according to the latest reply; true before the first.
    bool reachable() const { return m_reachable; }
    // Number of calls sent.
    std::uint64_t sent() const { return m_lastCall; }

private:
    struct Pending {
        StoreOperation operation;
        Handler handler;
    };
    std::uint64_t m_lastCall = 0;
    bool m_reachable = true;
    absl::flat_hash_map<StoreCallId, Pending> m_pending;
};

}
