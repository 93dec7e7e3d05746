#include "edge/model_escalation.h"

#include "adapters/log.h"
#include "core/routing/model_choice.h"
#include "edge/upstream_selection.h"

namespace skylarkhitch {

namespace {

    std::int64_t percent(double part) { return static_cast<std::int64_t>(100 * part); }

}

Awaitable<bool> escalateModel(RequestContext& request, RequestHedge& hedge, UpstreamAttempt& attempt)
{
    auto& traffic = request.traffic;
    const auto& response = *attempt.response;
    if (!request.model || !response.confidence || traffic.links().isLost() || request.caller->hasStartedResponse() || request.events.last() || !mayTryAnother(request))
        co_return false;
    const auto* larger = largerModel(*request.admitted.route, *request.model);
    if (!larger)
        co_return false;
    auto now = bootNow();
    auto eligible = traffic.findEligibleUpstreams(request.admitted.service->name, request.admitted.request, now);
    auto& balancer = traffic.balancer();
    EngineLoad load { balancer.meanWork(eligible.allowed), request.admitted.request.promptTokens, balancer.promptRatio(request.admitted.route->name), balancer.millisecondsPerToken() };
    auto needed = requiredConfidence(load, request.admitted.rank, request.admitted.route->targetLatency - toMilliseconds(now - request.received.receivedAt));
    if (*response.confidence >= needed)
        co_return false;
    bool hasBudget = traffic.takeRetry(request.admitted.service->name, request.retry, now, ServiceRetryBudget::largerModelFraction);
    LogLine(LogLevel::Info, "low_confidence_answer").with("id", request.id()).with("model", request.model->value).with("confidence_percent", percent(*response.confidence)).with("required_percent", percent(needed)).with("mean_work", static_cast<std::int64_t>(load.work)).with("next", hasBudget ? larger->value : "none_within_budget");
    if (!hasBudget)
        co_return false;
    // Its response is held meanwhile, and relayed if no larger model takes the request. That may run on the same upstream.
    hedge.silence().clear();
    auto tried = std::exchange(request.triedUpstreams, {});
    if (hedge.start(*larger))
        co_await hedge.awaitResponse();
    if (!attempt.isSuperseded) {
        request.triedUpstreams = std::move(tried);
        hedge.restartSilence(attempt);
        co_return false;
    }
    auto latency = toMilliseconds(now - attempt.sentAt);
    traffic.countSuccess(releaseRoute(request, attempt), processName(attempt.upstream), latency);
    co_return true;
}

}
