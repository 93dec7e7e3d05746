#pragma once

// Limits the memory of all response bodies and incomplete events that are buffered at the same time, within the memory of the
// instance. Small ones need only the latter, so that a few long ones do not fail all others.

#include "core/limits/instance_memory.h"

namespace skylarkhitch {

class BodyMemory {
public:
    BodyMemory(std::size_t maxBytes, std::shared_ptr<InstanceMemory> memory)
        : m_maxBytes(maxBytes)
        , m_memory(std::move(memory))
    {
    }

    // The memory of one body or event, which is returned when the object is destroyed.
    class Share {
    public:
        explicit Share(BodyMemory& memory)
            : m_memory(memory)
            , m_share(memory.m_memory, InstanceMemory::Use::Response)
        {
        }
        ~Share() { m_memory.m_used -= m_bytes; }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        // Adds bytes of the body. Returns false if the body is not small and the limit would be exceeded, or the instance has no memory.
        bool add(std::size_t bytes)
        {
            if (m_bytes + bytes > maxSmallBodyBytes && m_memory.m_used + bytes > m_memory.m_maxBytes)
                return false;
            if (!m_share.set(m_bytes + bytes))
                return false;
            m_bytes += bytes;
            m_memory.m_used += bytes;
            return true;
        }

        // Sets the bytes that are held. Returns false as add() does, and keeps the earlier number then.
        bool set(std::size_t bytes)
        {
            if (bytes > m_bytes)
                return add(bytes - m_bytes);
            m_share.hold(bytes);
            m_memory.m_used -= m_bytes - bytes;
            m_bytes = bytes;
            return true;
        }

    private:
        BodyMemory& m_memory;
        InstanceMemory::Share m_share;
        std::size_t m_bytes = 0;
    };

    // A body up to this size is admitted although the limit is reached.
    static constexpr std::size_t maxSmallBodyBytes = std::size_t { 64 } * 1024;

private:
    std::size_t m_maxBytes;
    std::size_t m_used = 0;
    std::shared_ptr<InstanceMemory> m_memory;
};

}
