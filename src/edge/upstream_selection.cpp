#include "edge/upstream_selection.h"

#include "core/scheduling/retry_decision.h"

namespace skylarkhitch {

const UpstreamEntry* chooseUpstream(RequestContext& request, const std::optional<ModelId>& model, TimePoint now)
{
    auto& traffic = request.traffic;
    const auto& admitted = request.admitted;
    // Uses the current view, not the one at admission: an upstream may have left in the meantime.
    auto eligible = traffic.findEligibleUpstreams(admitted.service->name, admitted.request, now);
    request.limitedFor.reset();
    request.pausedFor.reset();
    if (!eligible.service)
        return nullptr;
    request.pausedFor = traffic.removePaused(eligible.allowed, now);
    auto allowed = eligible.allowed;
    traffic.removeLimited(eligible.allowed, admitted.rank, now);
    if (eligible.allowed.size() < allowed.size())
        traffic.metrics().limitedChoice(!eligible.allowed.empty());
    if (eligible.allowed.empty() && !allowed.empty())
        request.limitedFor = traffic.timeToUnlimited(allowed, now);
    traffic.doubts().avoid(eligible.allowed, request.triedUpstreams, now);
    UpstreamQuery query {
        .request = &admitted.request,
        .service = eligible.service,
        .allowed = std::move(eligible.allowed),
        .tried = &request.triedUpstreams,
        .ownDomain = traffic.settings().domain,
        .mayCrash = request.isProbe || traffic.promptParts().isSuspected(request.parts),
        .model = model.value_or(ModelId {}),
        .rank = admitted.rank,
        .timeLeft = admitted.route->targetLatency - toMilliseconds(now - request.received.receivedAt),
        .memory = request.commitment(),
    };
    return traffic.balancer().choose(query, now);
}

bool reserveRetry(RequestContext& request, AttemptEnd end, TimePoint now)
{
    auto& traffic = request.traffic;
    const auto& admitted = request.admitted;
    RetryState state {
        .timeLeft = request.timeLeft(),
        .fitsBeforeExit = request.fitsBeforeExit(now),
        .triedUpstreams = request.triedUpstreams.size(),
        .deliveredAttempts = request.deliveredAttempts,
        .possibleRuns = request.possibleRuns,
        .executed = request.execution.executed(),
        .isRetryable = admitted.route->isRetryable(),
        .maxAttempts = admitted.route->maxAttempts,
        .isRetryUnsafe = traffic.promptParts().isRetryUnsafe(request.parts),
        .isRefused = traffic.crashes().refuses(admitted.fingerprint),
    };
    auto decision = decideOnRetry(end, state);
    if (decision != RetryDecision::FromBudget)
        return decision == RetryDecision::Free;
    return chooseUpstream(request, request.model, now) && traffic.takeRetry(admitted.service->name, request.retry, now);
}

bool mayTryAnother(const RequestContext& request)
{
    const auto& route = *request.admitted.route;
    return route.isRetryable() && request.possibleRuns < route.maxAttempts && request.fitsBeforeExit(bootNow());
}

}
