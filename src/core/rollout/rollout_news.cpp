#include "core/rollout/rollout_news.h"

#include "core/bounded_document.h"
#include "core/membership/store_revision.h"

#include <nlohmann/json.hpp>

namespace skylarkhitch {

using Json = nlohmann::json;

Json toJson(const std::vector<RolloutNews>& news)
{
    Json rows = Json::array();
    for (const auto& it : news)
        rows.push_back(Json::array({ it.service.value, it.target, it.revision, stageName(it.stage), it.startedAt.time_since_epoch().count() }));
    return rows;
}

std::vector<RolloutNews> rolloutNewsFrom(const Json& rows)
{
    std::vector<RolloutNews> news;
    for (const auto& it : rows) {
        if (auto stage = parseStageName(it.at(3).get<std::string>()))
            news.push_back({ { it.at(0) }, it.at(1), clampedIntegerFrom(it.at(2), { 0, maxRevision }), *stage, timePointFrom(it.at(4)) });
    }
    return news;
}

}
