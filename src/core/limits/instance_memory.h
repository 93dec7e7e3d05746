#pragma once

// Bounds the bytes that an instance holds for callers and upstreams: connections, requests with their bodies, and responses. A
// request that does not fit must be refused before it is sent to an upstream. Each kind of use may fill a larger part of the budget
// than the one before it: long requests, small requests, long responses, small responses. So long bodies do not keep small requests
// out, and new requests leave room for the responses of those that were accepted.

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace skylarkhitch {

class InstanceMemory {
public:
    enum class Use { Request,
        Response };

    // A budget of 0 sets no bound.
    explicit InstanceMemory(std::size_t budgetBytes)
        : m_budget(budgetBytes)
    {
    }
    InstanceMemory(const InstanceMemory&) = delete;
    InstanceMemory& operator=(const InstanceMemory&) = delete;

    // Returns the budget of a process that may have this much memory; 0 if the limit is not known (0).
    static std::size_t budgetFor(std::int64_t memoryLimitBytes);

    // The bytes of one connection, request or response, which are returned when the object is destroyed.
    class Share {
    public:
        Share(std::shared_ptr<InstanceMemory>, Use);
        ~Share();
        Share(Share&&) noexcept;
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;
        Share& operator=(Share&&) = delete;

        // Sets the bytes that are held. Returns false if more bytes do not fit; the earlier number is kept then, and a refusal is counted.
        bool set(std::size_t bytes);
        // Sets the bytes that are held, whether they fit or not.
        void hold(std::size_t bytes);

    private:
        std::shared_ptr<InstanceMemory> m_memory;
        Use m_use;
        std::size_t m_bytes = 0;
    };

    // Whether a new share of this size fits.
    bool fits(Use, std::size_t bytes) const;
    std::size_t held() const { return m_held; }
    std::size_t budget() const { return m_budget; }
    // Shares that did not fit, since the start.
    std::int64_t refusals() const { return m_refusals; }

    // A share up to this size is small.
    static constexpr std::size_t maxSmallBytes = std::size_t { 96 } * 1024;
    // Estimates of what a connection takes while it is open, and a request while it is served, beside the bytes that were received.
    static constexpr std::size_t connectionBytes = std::size_t { 8 } * 1024;
    static constexpr std::size_t requestBytes = std::size_t { 32 } * 1024;

private:
    static bool isLong(std::size_t bytes) { return bytes > maxSmallBytes; }
    bool mayGrow(Use, std::size_t from, std::size_t to) const;
    // Bytes that may be held before a share of this use and size no longer fits.
    std::size_t limitFor(Use, std::size_t bytes) const;
    void replace(Use, std::size_t from, std::size_t to);

    std::size_t m_budget;
    std::size_t m_held = 0;
    std::int64_t m_longRequests = 0;
    std::int64_t m_refusals = 0;
};

}
