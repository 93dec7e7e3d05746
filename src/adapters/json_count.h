#pragma once

// Reads counts from JSON documents of others, whose numbers may be of any type and size.

#include <cstdint>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

// Largest count that is taken, so that sums and costs of counts stay in range.
constexpr std::int64_t maxJsonCount = 1'000'000'000;

// The member of a JSON object as a count, rounded down. Zero if it is missing, not a number, negative or above maxJsonCount.
inline std::int64_t countOf(const nlohmann::json& object, const char* name)
{
    auto it = object.find(name);
    if (it == object.end() || !it->is_number())
        return 0;
    if (it->is_number_unsigned())
        return it->get<std::uint64_t>() <= static_cast<std::uint64_t>(maxJsonCount) ? it->get<std::int64_t>() : 0;
    // An integer that is not unsigned is negative.
    if (it->is_number_integer())
        return 0;
    auto number = it->get<double>();
    return number >= 0 && number <= static_cast<double>(maxJsonCount) ? static_cast<std::int64_t>(number) : 0;
}

}
