#include "core/scheduling/decaying_sum.h"

#include <algorithm>
#include <cmath>

namespace skylarkhitch {

namespace {

    double decayTimes(TimePoint from, TimePoint to)
    {
        return std::max(0.0, std::chrono::duration<double>(to - from) / std::chrono::duration<double>(DecayingSum::decayTime));
    }

}

void DecayingSum::add(double amount, TimePoint now)
{
    if (m_startedAt == TimePoint {})
        m_startedAt = now;
    m_value = value(now) + amount;
    m_at = std::max(m_at, now);
}

double DecayingSum::value(TimePoint now) const
{
    return m_value * std::exp(-decayTimes(m_at, now));
}

double DecayingSum::perSecond(TimePoint now) const
{
    auto since = std::max(now, m_startedAt + Seconds(1));
    auto covered = static_cast<double>(decayTime.count()) * (1 - std::exp(-decayTimes(m_startedAt, since)));
    return value(now) / covered;
}

}
