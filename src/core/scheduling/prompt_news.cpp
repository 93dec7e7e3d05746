#include "core/scheduling/prompt_news.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;
    using Bytes = std::vector<std::uint8_t>;

    // Widths of the fields of a row. The age is in hundredths of a second.
    constexpr std::size_t hashBytes = 8;
    constexpr std::size_t numberBytes = 2;
    constexpr std::size_t rowBytes = 2 * hashBytes + 2 * numberBytes;
    constexpr std::int64_t maxNumber = std::numeric_limits<std::uint16_t>::max();
    constexpr Milliseconds ageUnit { 10 };

    void append(Bytes& bytes, std::uint64_t value, std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n)
            bytes.push_back(static_cast<std::uint8_t>(value >> (8 * n)));
    }

    std::uint64_t readBytes(const std::uint8_t* bytes, std::size_t count)
    {
        std::uint64_t value = 0;
        for (std::size_t n = 0; n < count; ++n)
            value |= static_cast<std::uint64_t>(bytes[n]) << (8 * n);
        return value;
    }

    std::uint64_t toNumber(std::int64_t value)
    {
        return static_cast<std::uint64_t>(std::clamp<std::int64_t>(value, 0, maxNumber));
    }

}

Json toJson(const std::vector<PromptHolding>& holdings)
{
    Bytes bytes;
    bytes.reserve(holdings.size() * rowBytes);
    for (const auto& it : holdings) {
        append(bytes, it.prefix, hashBytes);
        append(bytes, it.process, hashBytes);
        append(bytes, toNumber(it.tokens), numberBytes);
        append(bytes, toNumber(it.age / ageUnit), numberBytes);
    }
    return Json::binary(std::move(bytes));
}

std::vector<PromptHolding> promptHoldingsFrom(const Json& json)
{
    std::vector<PromptHolding> holdings;
    const Bytes& bytes = json.get_binary();
    for (std::size_t n = 0; n + rowBytes <= bytes.size() && holdings.size() < PromptNews::maxSent; n += rowBytes) {
        const auto* row = bytes.data() + n;
        const auto* numbers = row + 2 * hashBytes;
        auto tokens = static_cast<std::int64_t>(readBytes(numbers, numberBytes));
        auto age = static_cast<std::int64_t>(readBytes(numbers + numberBytes, numberBytes)) * ageUnit;
        holdings.push_back({ readBytes(row, hashBytes), readBytes(row + hashBytes, hashBytes), tokens, age });
    }
    return holdings;
}

void PromptNews::record(std::uint64_t prefix, std::uint64_t process, std::int64_t tokens, TimePoint now)
{
    auto it = m_known.find({ prefix, process });
    if (it == m_known.end() || now - it->second.toldFrom >= refreshTime)
        insert({ prefix, process }, { tokens, now, now, true });
}

bool PromptNews::learn(const PromptHolding& holding, TimePoint now)
{
    if (holding.age > maxAge)
        return false;
    Pair pair { holding.prefix, holding.process };
    auto it = m_known.find(pair);
    if (it != m_known.end() && now - it->second.toldFrom < refreshTime)
        return false;
    insert(pair, { holding.tokens, now - holding.age, now, false });
    return true;
}

std::vector<PromptHolding> PromptNews::news(bool passesOn, TimePoint now) const
{
    std::vector<PromptHolding> holdings;
    for (const auto& [pair, it] : m_known) {
        auto age = toMilliseconds(now - it.readAt);
        if ((it.isOwn || passesOn) && now - it.toldFrom <= tellingTime && age <= maxAge)
            holdings.push_back({ pair.prefix, pair.process, it.tokens, age });
    }
    auto count = std::min(holdings.size(), maxSent);
    std::partial_sort(holdings.begin(), holdings.begin() + static_cast<std::ptrdiff_t>(count), holdings.end(), [](const auto& a, const auto& b) { return std::tie(b.tokens, a.age) < std::tie(a.tokens, b.age); });
    holdings.resize(count);
    return holdings;
}

void PromptNews::forget(TimePoint now)
{
    absl::erase_if(m_known, [&](const auto& it) { return now - it.second.toldFrom >= refreshTime; });
}

void PromptNews::insert(Pair pair, Known known)
{
    if (m_known.size() < maxKnown || m_known.contains(pair))
        m_known[pair] = known;
}

}
