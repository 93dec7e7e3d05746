#include "core/limits/upstream_limit_news.h"

#include "core/bounded_document.h"

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
    for (const auto& it : limits) {
        rows.push_back(Json::array({ it.process, it.requestsPerSecond ? Json(*it.requestsPerSecond) : Json(), it.age.count(), ownersToJson(it.owners) }));
        if (it.cold)
            rows.back().push_back(Json::array({ it.cold->requestsPerSecond, it.cold->timeLeft.count() }));
    }
    return rows;
}

std::vector<StatedLimit> statedLimitsFrom(const Json& json)
{
    std::vector<StatedLimit> limits;
    for (const auto& it : json) {
        StatedLimit limit { it.at(0), std::nullopt, ageFrom(it.at(2)), {} };
        if (!it.at(1).is_null())
            limit.requestsPerSecond = clampedNumberFrom(it.at(1), {});
        for (const auto& owner : it.at(3))
            limit.owners.push_back({ static_cast<std::size_t>(countFrom(owner.at(0))), { owner.at(1) }, ageFrom(owner.at(2)) });
        // Instances of earlier versions do not send it.
        if (it.size() > 4)
            limit.cold = ColdLimit { clampedNumberFrom(it.at(4).at(0), {}), ageFrom(it.at(4).at(1)) };
        limits.push_back(std::move(limit));
    }
    return limits;
}

}
