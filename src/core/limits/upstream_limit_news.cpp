#include "core/limits/upstream_limit_news.h"

#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    Json claimsToJson(const std::vector<ShareClaim>& claims)
    {
        Json rows = Json::array();
        for (const auto& it : claims)
            rows.push_back(Json::array({ it.share, it.instance.value, it.age.count() }));
        return rows;
    }

}

Json toJson(const std::vector<StatedLimit>& limits)
{
    Json rows = Json::array();
    for (const auto& it : limits)
        rows.push_back(Json::array({ it.process, it.requestsPerSecond ? Json(*it.requestsPerSecond) : Json(), it.age.count(), claimsToJson(it.claims) }));
    return rows;
}

std::vector<StatedLimit> statedLimitsFrom(const Json& json)
{
    std::vector<StatedLimit> limits;
    for (const auto& it : json) {
        StatedLimit limit { it.at(0), std::nullopt, Milliseconds(it.at(2).get<std::int64_t>()), {} };
        if (!it.at(1).is_null())
            limit.requestsPerSecond = it.at(1).get<double>();
        for (const auto& claim : it.at(3))
            limit.claims.push_back({ claim.at(0).get<std::size_t>(), { claim.at(1) }, Milliseconds(claim.at(2).get<std::int64_t>()) });
        limits.push_back(std::move(limit));
    }
    return limits;
}

}
