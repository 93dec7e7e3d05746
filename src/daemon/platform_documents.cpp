#include "daemon/platform_documents.h"

#include "adapters/json_count.h"

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    // The member as a string; empty if it is missing or not a string.
    std::string textOf(const Json& object, const char* name)
    {
        auto it = object.find(name);
        return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

}

std::optional<InstanceList> parseInstanceList(const HttpResult& result)
{
    if (result.end != HttpEnd::Complete)
        return std::nullopt;
    auto json = Json::parse(result.body, nullptr, false);
    if (!json.is_array())
        return std::nullopt;
    InstanceList list;
    for (const auto& it : json) {
        if (!it.is_object())
            continue;
        bool isEntry = textOf(it, "role") == "entry";
        ListedInstance instance { textOf(it, "id"), isEntry ? InstanceRole::Entry : InstanceRole::Upstream, textOf(it, "address"), textOf(it, "state") == "leaving" };
        if (isEntry && instance.id.empty())
            continue;
        auto peerAddress = textOf(it, "peer_address");
        if (isEntry && !peerAddress.empty())
            list.peerAddresses[{ instance.id }] = std::move(peerAddress);
        list.listed.instances.push_back(std::move(instance));
    }
    return list;
}

LoadReported parseLoadReport(const UpstreamId& id, TimePoint askedAt, const HttpResult& result)
{
    LoadReported report { .upstream = id, .askedAt = askedAt, .reachable = result.end == HttpEnd::Complete };
    auto json = report.reachable ? Json::parse(result.body, nullptr, false) : Json();
    if (!json.is_object())
        return report;
    report.running = countOf(json, "running");
    report.waiting = countOf(json, "waiting");
    auto leaving = json.find("leaving");
    report.leaving = leaving != json.end() && leaving->is_boolean() && leaving->get<bool>();
    return report;
}

std::optional<double> parseRating(const HttpResult& result)
{
    if (result.end != HttpEnd::Complete || result.status != 200)
        return std::nullopt;
    auto json = Json::parse(result.body, nullptr, false);
    auto it = json.find("rating");
    if (!json.is_object() || it == json.end() || !it->is_number())
        return std::nullopt;
    auto rating = it->get<double>();
    return rating >= 0 && rating <= 1 ? std::optional(rating) : std::nullopt;
}

}
