#include "core/scheduling/silence_limit.h"

#include "core/scheduling/retry_decision.h"

namespace skylarkhitch {

namespace {

    // An upstream that has not answered within this multiple of the target latency may have lost the request, so another one is asked
    // to take over. The event stream factors apply to the first event and to the gap between events. A sound upstream may be silent
    // for a second or two, and another one would read the whole prompt again.
    constexpr double responseTimeoutFactor = 2.5;
    constexpr double firstEventTimeoutFactor = 1.5;
    constexpr double eventGapTimeoutFactor = 2;
    constexpr Milliseconds minStreamSilence { 2500 };
    // A caller with little time is better served by another upstream, so the least silence is at most this part (1/n) of it.
    constexpr int silenceDivisor = 2;

    Milliseconds scaled(Milliseconds time, double factor)
    {
        return Milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    }

    Milliseconds leastSilence(Milliseconds timeLeft) { return std::min(minStreamSilence, Milliseconds(timeLeft / silenceDivisor)); }

}

Milliseconds expectedResponseTime(const Route& route) { return scaled(route.targetLatency, responseTimeoutFactor); }

Milliseconds silenceLimit(const Route& route, bool firstEventSeen, Milliseconds timeLeft)
{
    if (route.kind != RouteKind::Streaming)
        return std::max(minUsefulTime, expectedResponseTime(route));
    auto usual = firstEventSeen ? scaled(route.targetGap, eventGapTimeoutFactor) : scaled(route.targetLatency, firstEventTimeoutFactor);
    return std::max({ minUsefulTime, leastSilence(timeLeft), usual });
}

}
