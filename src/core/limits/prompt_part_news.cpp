#include "core/limits/prompt_part_news.h"

#include "core/bounded_document.h"

#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    std::vector<std::uint64_t> hashesFrom(const Json& json)
    {
        std::vector<std::uint64_t> hashes;
        for (const auto& it : json)
            hashes.push_back(unsignedFrom(it));
        return hashes;
    }

}

Json toJson(const PromptPartNews& news)
{
    Json crashes = Json::array(), served = Json::array(), quarantined = Json::array();
    for (const auto& it : news.crashes)
        crashes.push_back(Json::array({ it.process, it.age.count(), it.runningAge ? Json(it.runningAge->count()) : Json(), it.parts, it.requests }));
    for (const auto& it : news.served)
        served.push_back(Json::array({ it.part, it.age.count() }));
    for (const auto& it : news.quarantined)
        quarantined.push_back(Json::array({ it.part, it.age.count(), it.idle.count(), it.crashes, it.probes, it.probeAge.count() }));
    return Json::array({ crashes, served, quarantined });
}

PromptPartNews promptPartNewsFrom(const Json& json)
{
    PromptPartNews news;
    for (const auto& it : json.at(0)) {
        SuspectedCrash crash { it.at(0), ageFrom(it.at(1)), std::nullopt, it.at(3).get<std::vector<std::string>>(), hashesFrom(it.at(4)) };
        if (!it.at(2).is_null())
            crash.runningAge = ageFrom(it.at(2));
        news.crashes.push_back(std::move(crash));
    }
    for (const auto& it : json.at(1))
        news.served.push_back({ it.at(0), ageFrom(it.at(1)) });
    for (const auto& it : json.at(2))
        news.quarantined.push_back({ it.at(0), ageFrom(it.at(1)), ageFrom(it.at(2)), countFrom(it.at(3)), countFrom(it.at(4)), ageFrom(it.at(5)) });
    return news;
}

}
