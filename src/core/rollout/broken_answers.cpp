#include "core/rollout/broken_answers.h"

namespace skylarkhitch {

void BrokenAnswers::broke(const std::string& incarnation, const ReleaseRoute& route, TimePoint now)
{
    m_brokenAnswers[incarnation].push_back({ route, now });
}

std::vector<ReleaseRoute> BrokenAnswers::worked(const std::string& incarnation, TimePoint sentAt)
{
    std::vector<ReleaseRoute> routes;
    auto it = m_brokenAnswers.find(incarnation);
    if (it == m_brokenAnswers.end())
        return routes;
    std::erase_if(it->second, [&](const BrokenAnswer& broken) {
        if (broken.at >= sentAt)
            return false;
        routes.push_back(broken.route);
        return true;
    });
    return routes;
}

void BrokenAnswers::forget(TimePoint before)
{
    absl::erase_if(m_brokenAnswers, [&](auto& it) {
        std::erase_if(it.second, [&](const BrokenAnswer& broken) { return broken.at < before; });
        return it.second.empty();
    });
}

}
