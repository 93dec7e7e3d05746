#include "core/rollout/broken_responses.h"

namespace skylarkhitch {

namespace {

    // Removes and returns the entries of an incarnation from before the time.
    template <typename Entry>
    std::vector<Entry> takeBefore(absl::flat_hash_map<std::string, std::vector<Entry>>& entries, const std::string& incarnation, TimePoint time)
    {
        std::vector<Entry> taken;
        auto it = entries.find(incarnation);
        if (it == entries.end())
            return taken;
        std::erase_if(it->second, [&](const Entry& entry) {
            if (entry.at >= time)
                return false;
            taken.push_back(entry);
            return true;
        });
        return taken;
    }

    template <typename Entry>
    void removeBefore(absl::flat_hash_map<std::string, std::vector<Entry>>& entries, TimePoint time)
    {
        absl::erase_if(entries, [&](auto& it) {
            std::erase_if(it.second, [&](const Entry& entry) { return entry.at < time; });
            return it.second.empty();
        });
    }

}

void BrokenResponses::recordBroken(const std::string& incarnation, const ReleaseRoute& route, TimePoint now)
{
    m_brokenResponses[incarnation].push_back({ route, now });
}

std::vector<ReleaseRoute> BrokenResponses::recordSucceeded(const std::string& incarnation, TimePoint sentAt)
{
    std::vector<ReleaseRoute> routes;
    for (auto& it : takeBefore(m_brokenResponses, incarnation, sentAt))
        routes.push_back(std::move(it.route));
    return routes;
}

void BrokenResponses::recordAbandoned(const std::string& incarnation, const AbandonedRequest& request)
{
    m_abandonedRequests[incarnation].push_back(request);
}

std::vector<AbandonedRequest> BrokenResponses::takeAbandoned(const std::string& incarnation, TimePoint sentAt)
{
    return takeBefore(m_abandonedRequests, incarnation, sentAt);
}

void BrokenResponses::forget(TimePoint before)
{
    removeBefore(m_brokenResponses, before);
    removeBefore(m_abandonedRequests, before);
}

}
