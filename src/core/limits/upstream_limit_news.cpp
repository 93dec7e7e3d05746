#include "core/limits/upstream_limit_news.h"

#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    Json ownersToJson(const std::vector<ShareOwner>& owners)
    {
        Json rows = Json::array();
        for (const auto& it : owners)
            rows.push_back(Json::array({ it.share, it.instance.value, it.age.count() }));
        return rows;
    }

}

Json toJson(const std::vector<StatedLimit>& limits)
{
    Json rows = Json::array();
    for (const auto& it : limits)
        rows.push_back(Json::array({ it.process, it.requestsPerSecond ? Json(*it.requestsPerSecond) : Json(), it.age.count(), ownersToJson(it.owners) }));
    return rows;
}

std::vector<StatedLimit> statedLimitsFrom(const Json& json)
{
    std::vector<StatedLimit> limits;
    for (const auto& it : json) {
        StatedLimit limit { it.at(0), std::nullopt, Milliseconds(it.at(2).get<std::int64_t>()), {} };
        if (!it.at(1).is_null())
            limit.requestsPerSecond = it.at(1).get<double>();
        for (const auto& owner : it.at(3))
            limit.owners.push_back({ owner.at(0).get<std::size_t>(), { owner.at(1) }, Milliseconds(owner.at(2).get<std::int64_t>()) });
        limits.push_back(std::move(limit));
    }
    return limits;
}

}
