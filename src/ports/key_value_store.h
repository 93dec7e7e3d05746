#pragma once

// Interface to the platform's key-value service. While the process runs, every call gets exactly one reply, within its
// timeout; only the reply to a watch may come later (HttpStore adds a margin, MemoryStore has no timeout). After a reply of
// Unavailable it is unknown whether a compare-and-swap or a removal took effect.

#include "core/messages.h"

#include <functional>

namespace skylarkhitch {

class KeyValueStore {
public:
    using ReplyCallback = std::function<void(StoreReply)>;

    virtual ~KeyValueStore() = default;
    // Starts a call. The callback may run on any thread and before this function returns.
    virtual void call(const StoreCall&, ReplyCallback) = 0;
};

}
