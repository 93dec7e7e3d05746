#include "core/limits/service_retry_budget.h"

#include <algorithm>

namespace skylarkhitch {

void ServiceRetryBudget::requestArrived(TimePoint now)
{
    dropExpired(now);
    m_requests.push_back(now);
}

bool ServiceRetryBudget::take(std::size_t knownInstances, TimePoint now, double part)
{
    dropExpired(now);
    auto ownAllowance = m_settings.fixedAllowance / static_cast<double>(std::max<std::size_t>(1, knownInstances));
    auto allowed = part * safetyFactor * (m_settings.ratio * static_cast<double>(m_requests.size()) + ownAllowance);
    if (static_cast<double>(m_retries.size()) + 1 > allowed)
        return false;
    m_retries.push_back(now);
    return true;
}

void ServiceRetryBudget::dropExpired(TimePoint now)
{
    auto windowStart = now - m_settings.window;
    while (!m_requests.empty() && m_requests.front() < windowStart)
        m_requests.pop_front();
    while (!m_retries.empty() && m_retries.front() < windowStart)
        m_retries.pop_front();
}

}
