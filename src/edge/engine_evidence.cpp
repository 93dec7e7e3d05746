#include "edge/engine_evidence.h"

namespace skylarkhitch {

namespace {

    bool hasEngine(const RequestContext& request) { return request.admitted.service->engine.has_value(); }

}

void recordFirstEvent(const RequestContext& request, const UpstreamAttempt& attempt, TimePoint now)
{
    FirstEvent event { attempt.workBefore, attempt.work, std::chrono::duration_cast<Microseconds>(now - attempt.sentAt) };
    if (hasEngine(request))
        request.traffic.balancer().recordFirstEvent(attempt.upstream, attempt.model.value_or(ModelId {}), event, now);
    if (!attempt.prompt)
        return;
    auto read = *attempt.prompt;
    read.firstEvent = toMilliseconds(now - attempt.sentAt);
    request.traffic.recordPromptRead(request.admitted.service->name, read, now);
}

void recordGap(const RequestContext& request, const UpstreamAttempt& attempt, std::size_t events, TimePoint now)
{
    if (hasEngine(request) && events == 1)
        request.traffic.balancer().recordGap(attempt.upstream, attempt.model.value_or(ModelId {}), std::chrono::duration_cast<Microseconds>(now - attempt.relayedAt), now);
}

void recordOutput(const RequestContext& request, const UpstreamAttempt& attempt)
{
    if (hasEngine(request) && !attempt.isContinuation)
        request.traffic.balancer().recordOutput(request.admitted.route->name, request.admitted.request, attempt.events * request.admitted.service->engine->tokensPerEvent);
}

}
