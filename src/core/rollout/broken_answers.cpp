#include "core/rollout/broken_answers.h"

namespace skylarkhitch {

void BrokenAnswers::broke(const std::string& life, const ReleaseRoute& route, TimePoint now)
{
    m_broken[life].push_back({ route, now });
}

std::vector<ReleaseRoute> BrokenAnswers::worked(const std::string& life, TimePoint sentAt)
{
    std::vector<ReleaseRoute> routes;
    auto it = m_broken.find(life);
    if (it == m_broken.end())
        return routes;
    std::erase_if(it->second, [&](const Broken& broken) {
        if (broken.at >= sentAt)
            return false;
        routes.push_back(broken.route);
        return true;
    });
    return routes;
}

void BrokenAnswers::forget(TimePoint before)
{
    absl::erase_if(m_broken, [&](auto& it) {
        std::erase_if(it.second, [&](const Broken& broken) { return broken.at < before; });
        return it.second.empty();
    });
}

}
