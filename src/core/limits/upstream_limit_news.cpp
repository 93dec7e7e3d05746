#include "core/limits/upstream_limit_news.h"

#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

}

Json toJson(const std::vector<StatedLimit>& limits)
{
    Json rows = Json::array();
    for (const auto& it : limits)
        rows.push_back(Json::array({ it.process, it.requestsPerSecond ? Json(*it.requestsPerSecond) : Json(), it.age.count() }));
    return rows;
}

std::vector<StatedLimit> statedLimitsFrom(const Json& json)
{
    std::vector<StatedLimit> limits;
    for (const auto& it : json) {
        StatedLimit limit { it.at(0), std::nullopt, Milliseconds(it.at(2).get<std::int64_t>()) };
        if (!it.at(1).is_null())
            limit.requestsPerSecond = it.at(1).get<double>();
        limits.push_back(std::move(limit));
    }
    return limits;
}

}
