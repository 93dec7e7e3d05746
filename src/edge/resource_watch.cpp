#include "edge/resource_watch.h"

namespace skylarkhitch {

ResourceWatch::Change ResourceWatch::update(std::int64_t used)
{
    if (m_limit <= 0)
        return Change::None;
    auto isAbove = [&](std::int64_t percent) { return static_cast<double>(used) * 100 > static_cast<double>(m_limit) * static_cast<double>(percent); };
    if (!m_isNear && isAbove(nearPercent)) {
        m_isNear = true;
        return Change::NearlyExhausted;
    }
    if (m_isNear && !isAbove(clearPercent)) {
        m_isNear = false;
        return Change::Recovered;
    }
    return Change::None;
}

}
