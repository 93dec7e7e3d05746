#include "edge/request_context.h"

#include "core/scheduling/silence_limit.h"

namespace skylarkhitch {

namespace {

    // A caller is made to wait for at most this part (1/n) of its remaining time.
    constexpr int waitDivisor = 3;

}

RequestContext::RequestContext(TrafficState& traffic, std::shared_ptr<CallerConnection> caller, ReceivedRequest received)
    : traffic(traffic)
    , caller(std::move(caller))
    , received(std::move(received))
{
}

Milliseconds RequestContext::timeLeft() const
{
    return std::max(Milliseconds(0), toMilliseconds(admitted.deadline - bootNow()));
}

Milliseconds RequestContext::allowedWait() const { return Milliseconds(timeLeft() / waitDivisor); }

MemoryCommitment RequestContext::commitment() const
{
    return admitted.service->engine ? traffic.balancer().commitment(admitted.route->name, admitted.request) : MemoryCommitment {};
}

bool RequestContext::fitsBeforeExit(TimePoint now) const
{
    // A response that has begun would be broken off at once if it did not go on elsewhere.
    if (caller->hasStartedResponse())
        return !traffic.isExiting(now);
    const auto& route = *admitted.route;
    PendingWork work { route.name, route.isRetryable() ? CutCost::Repeatable : CutCost::Final, admitted.deadline };
    if (route.kind != RouteKind::Idempotent && traffic.isLateInStop(received.receivedAt))
        work.cutCost = CutCost::Forbidden;
    // A call that takes longer would be sent again elsewhere.
    if (route.kind == RouteKind::Idempotent)
        work.defaultTime = expectedResponseTime(route);
    return traffic.fitsBeforeExit(work, now);
}

}
