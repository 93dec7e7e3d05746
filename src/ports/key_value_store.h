#pragma once

// Interface to the platform's key-value service. Every call gets exactly one reply, within its timeout. After a reply of
// Unavailable it is unknown whether a compare-and-swap took effect.

#include "core/messages.h"

#include <functional>

namespace skylarkhitch {

class KeyValueStore {
public:
    using ReplyCallback = std::function<void(StoreReply)>;

    virtual ~KeyValueStore() = default;
    virtual void call(const StoreCall&, ReplyCallback) = 0;
};

}
