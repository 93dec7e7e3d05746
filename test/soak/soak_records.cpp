#include "soak/soak_records.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace skylarkhitch::soak {

namespace {

    bool promisesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

    // Statuses with which the router must never reject a valid request.
    bool deniesProperRequest(int status) { return status >= 300 && status < 500 && !promisesNotRun(status); }

}

void SoakRecords::ran(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    ++m_runs[id];
}

void SoakRecords::brokeOff(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    m_broken.insert(id);
}

bool SoakRecords::hasBroken(const std::string& id) const
{
    std::lock_guard lock(m_mutex);
    return m_broken.contains(id);
}

void SoakRecords::ended(Outcome outcome)
{
    std::lock_guard lock(m_mutex);
    m_outcomes.push_back(std::move(outcome));
}

void SoakRecords::planned(Clock::time_point from, Clock::time_point to)
{
    std::lock_guard lock(m_mutex);
    m_planned.push_back({ from, to });
}

std::vector<std::string> SoakRecords::violations() const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> all;
    for (const auto& it : m_outcomes) {
        auto text = violationOf(it);
        if (!text.empty())
            all.push_back(absl::StrCat(it.id, " status ", it.status, ": ", text));
    }
    return all;
}

std::string SoakRecords::violationOf(const Outcome& outcome) const
{
    auto found = m_runs.find(outcome.id);
    auto runs = found == m_runs.end() ? 0 : found->second;
    if (!outcome.defect.empty())
        return outcome.defect;
    if (outcome.kind == Kind::Booking && runs > 1)
        return absl::StrCat("a non-idempotent call ran ", runs, " times");
    if (runs > mostRuns)
        return absl::StrCat("ran ", runs, " times on upstreams; the limit is ", mostRuns);
    if (outcome.kind == Kind::Booking && promisesNotRun(outcome.status) && runs > 0)
        return "rejected as not run, but an upstream ran it";
    if (deniesProperRequest(outcome.status))
        return "a valid request was rejected";
    bool isPlanned = std::any_of(m_planned.begin(), m_planned.end(), [&](const auto& it) { return outcome.sentAt >= it.from && outcome.endedAt <= it.to; });
    bool isCut = !outcome.isWhole || outcome.status == 502 || outcome.status == 504;
    if (isPlanned && isCut && runs > 0 && !m_broken.contains(outcome.id))
        return "interrupted by a planned operation";
    return {};
}

std::size_t SoakRecords::served() const
{
    std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_outcomes.begin(), m_outcomes.end(), [](const auto& it) { return it.isWhole && it.status == 200; }));
}

std::size_t SoakRecords::size() const
{
    std::lock_guard lock(m_mutex);
    return m_outcomes.size();
}

}
