#include "core/rollout/broken_responses.h"

namespace skylarkhitch {

void BrokenResponses::recordBroken(const std::string& incarnation, const ReleaseRoute& route, TimePoint now)
{
    m_brokenResponses[incarnation].push_back({ route, now });
}

std::vector<ReleaseRoute> BrokenResponses::recordSucceeded(const std::string& incarnation, TimePoint sentAt)
{
    std::vector<ReleaseRoute> routes;
    auto it = m_brokenResponses.find(incarnation);
    if (it == m_brokenResponses.end())
        return routes;
    std::erase_if(it->second, [&](const BrokenResponse& broken) {
        if (broken.at >= sentAt)
            return false;
        routes.push_back(broken.route);
        return true;
    });
    return routes;
}

void BrokenResponses::forget(TimePoint before)
{
    absl::erase_if(m_brokenResponses, [&](auto& it) {
        std::erase_if(it.second, [&](const BrokenResponse& broken) { return broken.at < before; });
        return it.second.empty();
    });
}

}
