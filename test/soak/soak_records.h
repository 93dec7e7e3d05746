#pragma once

// What callers and upstreams of a soak saw, and the promises that must hold between the two.

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace skylarkhitch::soak {

using Clock = std::chrono::steady_clock;

enum class Kind { Status,
    Booking,
    Draft };

// One request as its caller saw it.
struct Outcome {
    std::string id;
    Kind kind = Kind::Status;
    // 0 if no answer came.
    int status = 0;
    // The answer has its end.
    bool isWhole = false;
    // What is wrong with the answer's content; empty if nothing is.
    std::string defect;
    Clock::time_point sentAt;
    Clock::time_point endedAt;
};

class SoakRecords {
public:
    // Runs of one request on upstreams that a route allows at most.
    static constexpr int mostRuns = 3;

    void ran(const std::string& id);
    // The upstream broke off, so that nobody can expect a whole answer.
    void brokeOff(const std::string& id);
    bool hasBroken(const std::string& id) const;
    void ended(Outcome);
    // Only planned work was done in this time: nothing excuses a cut request.
    void planned(Clock::time_point from, Clock::time_point to);

    // Each broken promise in one line.
    std::vector<std::string> violations() const;
    std::size_t served() const;
    std::size_t size() const;

private:
    struct Window {
        Clock::time_point from, to;
    };
    std::string violationOf(const Outcome&) const;

    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::set<std::string> m_broken;
    std::vector<Outcome> m_outcomes;
    std::vector<Window> m_planned;
};

}
