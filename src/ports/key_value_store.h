#pragma once

// The platform's key-value service as the daemon needs it. Every call gets exactly one reply, within its timeout;
// a reply of Unavailable leaves open whether a swap took effect.

#include "core/messages.h"

#include <functional>

namespace skylarkhitch {

class KeyValueStore {
public:
    using Reply = std::function<void(StoreReply)>;

    virtual ~KeyValueStore() = default;
    virtual void call(const StoreCall&, Reply) = 0;
};

}
