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

// Sets of several parts stand in an array of their own at the end, which earlier builds ignore.
Json toJson(const PromptPartNews& news)
{
    Json crashes = Json::array(), served = Json::array(), quarantined = Json::array(), sets = Json::array();
    for (const auto& it : news.crashes) {
        crashes.push_back(Json::array({ it.process, it.age.count(), it.runningAge ? Json(it.runningAge->count()) : Json(), it.parts, it.requests }));
        if (it.allParts > 0)
            crashes.back().push_back(it.allParts);
    }
    for (const auto& it : news.served)
        served.push_back(Json::array({ it.part, it.age.count() }));
    for (const auto& it : news.quarantined) {
        bool isSet = it.parts.size() > 1;
        auto row = Json::array({ isSet ? Json(it.parts) : Json(it.parts.front()), it.age.count(), it.idle.count(), it.crashes, it.probes, it.probeAge.count() });
        if (isSet) {
            row.push_back(it.trialAge ? Json(it.trialAge->count()) : Json());
            row.push_back(it.trialCrashes);
        }
        (isSet ? sets : quarantined).push_back(std::move(row));
    }
    auto json = Json::array({ crashes, served, quarantined });
    if (!sets.empty())
        json.push_back(sets);
    return json;
}

PromptPartNews promptPartNewsFrom(const Json& json)
{
    PromptPartNews news;
    for (const auto& it : json.at(0)) {
        SuspectedCrash crash { it.at(0), ageFrom(it.at(1)), std::nullopt, it.at(3).get<std::vector<std::string>>(), hashesFrom(it.at(4)) };
        if (!it.at(2).is_null())
            crash.runningAge = ageFrom(it.at(2));
        if (it.size() > 5)
            crash.allParts = static_cast<std::size_t>(countFrom(it.at(5)));
        news.crashes.push_back(std::move(crash));
    }
    for (const auto& it : json.at(1))
        news.served.push_back({ it.at(0), ageFrom(it.at(1)) });
    auto quarantineFrom = [](const Json& it, std::vector<std::string> parts) {
        return QuarantinedParts { std::move(parts), ageFrom(it.at(1)), ageFrom(it.at(2)), countFrom(it.at(3)), countFrom(it.at(4)), ageFrom(it.at(5)) };
    };
    for (const auto& it : json.at(2))
        news.quarantined.push_back(quarantineFrom(it, { it.at(0).get<std::string>() }));
    for (const auto& it : json.size() > 3 ? json.at(3) : Json::array()) {
        auto set = quarantineFrom(it, it.at(0).get<std::vector<std::string>>());
        if (!it.at(6).is_null())
            set.trialAge = ageFrom(it.at(6));
        set.trialCrashes = countFrom(it.at(7));
        news.quarantined.push_back(std::move(set));
    }
    return news;
}

}
