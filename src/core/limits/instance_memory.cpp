#include "core/limits/instance_memory.h"

#include <algorithm>
#include <utility>

namespace skylarkhitch {

namespace {

    // Left to the process itself: code, configuration, copy of the store, and what the allocator cannot return. On a small machine at
    // most three quarters of the memory.
    constexpr std::int64_t processBytes = std::int64_t { 28 } << 20;
    constexpr std::int64_t largestProcessPart = 3;
    constexpr std::int64_t smallestProcessPart = 1;
    constexpr std::int64_t processPartDivisor = 4;

    // Parts of the budget, in percent.
    constexpr std::size_t longRequestPercent = 74;
    constexpr std::size_t smallRequestPercent = 86;
    constexpr std::size_t longResponsePercent = 95;
    constexpr std::size_t smallResponsePercent = 100;

}

std::size_t InstanceMemory::budgetFor(std::int64_t memoryLimitBytes)
{
    if (memoryLimitBytes <= 0)
        return 0;
    auto quarter = memoryLimitBytes / processPartDivisor;
    auto reserved = std::clamp(processBytes, quarter * smallestProcessPart, quarter * largestProcessPart);
    return static_cast<std::size_t>(memoryLimitBytes - reserved);
}

InstanceMemory::Share::Share(std::shared_ptr<InstanceMemory> memory, Use use)
    : m_memory(std::move(memory))
    , m_use(use)
{
}

InstanceMemory::Share::~Share()
{
    if (m_memory)
        hold(0);
}

InstanceMemory::Share::Share(Share&& other) noexcept
    : m_memory(std::move(other.m_memory))
    , m_use(other.m_use)
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

bool InstanceMemory::Share::set(std::size_t bytes)
{
    if (bytes > m_bytes && !m_memory->mayGrow(m_use, m_bytes, bytes)) {
        ++m_memory->m_refusals;
        return false;
    }
    hold(bytes);
    return true;
}

void InstanceMemory::Share::hold(std::size_t bytes)
{
    m_memory->replace(m_use, std::exchange(m_bytes, bytes), bytes);
}

bool InstanceMemory::fits(Use use, std::size_t bytes) const { return mayGrow(use, 0, bytes); }

bool InstanceMemory::mayGrow(Use use, std::size_t from, std::size_t to) const
{
    if (m_budget == 0 || m_held - from + to <= limitFor(use, to))
        return true;
    // A single long request is served in calm, whatever part of the budget it takes.
    auto otherLongRequests = m_longRequests - (isLong(from) ? 1 : 0);
    return use == Use::Request && isLong(to) && otherLongRequests == 0 && m_held - from <= limitFor(use, 0) / 2;
}

std::size_t InstanceMemory::limitFor(Use use, std::size_t bytes) const
{
    constexpr std::array requestPercents { smallRequestPercent, longRequestPercent };
    constexpr std::array responsePercents { smallResponsePercent, longResponsePercent };
    const auto& percents = use == Use::Request ? requestPercents : responsePercents;
    return m_budget / 100 * percents[isLong(bytes) ? 1 : 0];
}

void InstanceMemory::replace(Use use, std::size_t from, std::size_t to)
{
    m_held = m_held - from + to;
    if (use == Use::Request)
        m_longRequests += (isLong(to) ? 1 : 0) - (isLong(from) ? 1 : 0);
}

}
