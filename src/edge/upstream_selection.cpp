#include "edge/upstream_selection.h"

#include "adapters/log.h"
#include "core/routing/model_choice.h"
#include "core/scheduling/retry_decision.h"
#include "edge/prompt_expectation.h"

#include <algorithm>
#include <cmath>

namespace skylarkhitch {

namespace {

    // What the prompt memory of the service makes of the request, without the outlook of an engine.
    std::optional<PromptRead> findPrompt(RequestContext& request, const RoutedService& service, const ModelId& model, TimePoint now)
    {
        auto* prompts = request.traffic.prompts(service.name);
        if (!prompts || !service.engine)
            return std::nullopt;
        const auto& routed = request.admitted.request;
        PromptRead read;
        read.prefixes = sharedPrefixes(model, routed);
        read.promptTokens = routed.promptTokens;
        read.modelWeight = model.empty() ? 1 : modelWeight(*service.engine, model);
        auto& recorded = request.recordedModels;
        if (std::find(recorded.begin(), recorded.end(), model) == recorded.end()) {
            recorded.push_back(model);
            prompts->recordRequest(read.prefixes, static_cast<double>(read.promptTokens) * read.modelWeight, now);
        }
        return read;
    }

    const UpstreamEntry* findUpstream(RequestContext& request, const std::optional<ModelId>& model, TimePoint now)
    {
        request.chosenPrompt.reset();
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
        auto prompt = findPrompt(request, *query.service, query.model, now);
        PromptCredits credits;
        if (prompt)
            credits = promptCredits(traffic, *query.service, prompt->prefixes, promptDemand(traffic, prompt->promptTokens, prompt->modelWeight, query.timeLeft), query.allowed, now);
        if (!credits.empty())
            query.promptCredits = &credits;
        const auto* upstream = traffic.balancer().choose(query, now);
        if (!upstream || !prompt)
            return upstream;
        prompt->process = processName(*upstream);
        auto credit = credits.find(upstream->id);
        if (credit != credits.end())
            prompt->outlook = credit->second.outlook;
        request.chosenPrompt = std::move(prompt);
        return upstream;
    }

    void logPlacement(const RequestContext& request, const UpstreamEntry& upstream)
    {
        const auto& placement = request.traffic.balancer().lastPlacement();
        LogLine line(LogLevel::Debug, "engine_chosen");
        line.with("id", request.id()).with("upstream", upstream.id.value).with("work_ahead", std::llround(placement.workAhead)).with("speed_percent", std::llround(placement.speed * 100));
        line.with("cached_tokens", placement.cachedTokens).with("expected_ms", placement.expectedFirstEvent.count()).with("without_memory", static_cast<std::int64_t>(placement.withoutMemory));
    }

}

const UpstreamEntry* chooseUpstream(RequestContext& request, const std::optional<ModelId>& model, TimePoint now)
{
    const auto* upstream = findUpstream(request, model, now);
    if (upstream && request.traffic.balancer().lastPlacement().entry)
        logPlacement(request, *upstream);
    return upstream;
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
    return findUpstream(request, request.model, now) && traffic.takeRetry(admitted.service->name, request.retry, now);
}

bool mayTryAnother(const RequestContext& request)
{
    const auto& route = *request.admitted.route;
    return route.isRetryable() && request.possibleRuns < route.maxAttempts && request.fitsBeforeExit(bootNow());
}

}
