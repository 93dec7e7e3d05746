#include "core/limits/repeat_budget.h"

#include <algorithm>

namespace skylarkhitch {

void RepeatBudget::requestArrived(TimePoint now)
{
    dropExpired(now);
    m_requests.push_back(now);
}

bool RepeatBudget::take(std::size_t liveInstances, TimePoint now, double part)
{
    dropExpired(now);
    auto ownAllowance = m_settings.fixedAllowance / static_cast<double>(std::max<std::size_t>(1, liveInstances));
    auto allowed = part * safety * (m_settings.ratio * static_cast<double>(m_requests.size()) + ownAllowance);
    if (static_cast<double>(m_repeats.size()) + 1 > allowed)
        return false;
    m_repeats.push_back(now);
    return true;
}

void RepeatBudget::dropExpired(TimePoint now)
{
    auto windowStart = now - m_settings.window;
    while (!m_requests.empty() && m_requests.front() < windowStart)
        m_requests.pop_front();
    while (!m_repeats.empty() && m_repeats.front() < windowStart)
        m_repeats.pop_front();
}

}
