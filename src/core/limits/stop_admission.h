#pragma once

// Decides which requests an instance that stops still sends to upstreams: those that it expects to answer before its process ends. Any
// other is better served by another instance, and must be refused before it can have run.
//
// A request whose own time limit ends before the exit always fits. Otherwise the time that the request will take is expected from what
// requests of its route have taken lately, with a margin. Those that did not get a whole answer, and those that are still at work, count
// as evidence for at least the time that they have lasted. All times are those of whole requests: from the moment when a request may
// first be sent until its response has been written.
//
// A request that must not be cut needs a bound instead: the longest time of a longer memory, with a margin that is the larger the fewer
// whole answers are known. Only answers count there whose callers allowed about as much time, since a caller that allows more often asks
// for more.

#include "core/ids.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace skylarkhitch {

// What it costs to cut a request off at the exit.
enum class CutCost {
    // It may be sent again.
    Repeatable,
    // Whether it has run remains unknown, or a response cannot be resumed.
    Final,
    // As Final, or a stream that would break off, and the request came so late in the stop that it can well go elsewhere.
    Forbidden,
};

// A request that is about to be sent.
struct PendingWork {
    std::string route;
    CutCost cutCost = CutCost::Final;
    // The request's own time limit, at which it ends in any case.
    TimePoint deadline;
    // Time that a request of the route is taken to need where too few have been seen. Without it, such a request fits only if its
    // deadline does.
    std::optional<Milliseconds> defaultTime;
};

class StopAdmission {
public:
    // Ended requests count as evidence for this time, and for the bound of those that must not be cut for the longer one, but at most
    // maxSamples of each route.
    static constexpr Seconds window { 60 }, memory { 600 };
    static constexpr std::size_t maxSamples = 1024;
    // With fewer whole answers than this, a route's requests are taken to need the default time at least.
    static constexpr std::size_t minSamples = 5;
    // Of repeatable requests this part (1/n), the slowest, may be cut off; of the others none that has been seen.
    static constexpr std::size_t slowDivisor = 50;
    // The expected time is this multiple of what was seen.
    static constexpr double repeatableMargin = 1.25;
    static constexpr double finalMargin = 1.5;
    // Of requests that must not be cut, one in exceedingDivisor may last longer than the bound. The longest of n answers is exceeded by
    // one in n, and f times the longest by one in n * f, even if the times have a tail as heavy as 1/t.
    static constexpr double exceedingDivisor = 500;
    // Answers count there if their callers allowed at least 1/limitDivisor of the time that this one allows.
    static constexpr int limitDivisor = 2;
    // No request is expected to take less, as the process may be short of processor time.
    static constexpr Milliseconds minTime { 500 };
    // Requests that come later than this after the first signal must not be cut where that would be final. The platform allows 3 s from
    // the moment at which it sends the signal, and a busy process handles it later.
    static constexpr Milliseconds earlyTime { 2800 };

    // A request of the route begins. ended() must follow with the same time.
    void began(const std::string& route, TimePoint at);
    // The request that began then has ended, with a whole answer or without. Its own time limit was `deadline`.
    void ended(const std::string& route, TimePoint beganAt, TimePoint deadline, bool isWhole, TimePoint now);
    // Drops what is older than the memory.
    void forget(TimePoint now);

    // Time that the request is expected to take from now on, with the margin, or nullopt if nothing speaks for any time.
    std::optional<Milliseconds> expectedTime(const PendingWork&, TimePoint now) const;
    // Whether the request is expected to be answered before the process ends.
    bool fits(const PendingWork&, TimePoint exitAt, TimePoint now) const;

private:
    struct EndedRequest {
        TimePoint at;
        Milliseconds time { 0 }, limit { 0 };
        bool isWhole = false;
    };
    struct RouteTimes {
        std::deque<EndedRequest> ended;
        // When the requests that are at work began.
        std::multiset<TimePoint> running;
    };

    static void dropOld(RouteTimes&, TimePoint now);
    // Time that hardly any request like this one exceeds, or nullopt if no answer is known of one that was allowed as much time.
    static std::optional<Milliseconds> boundOf(const RouteTimes&, const PendingWork&, TimePoint now);

    std::map<std::string, RouteTimes, std::less<>> m_routes;
};

}
