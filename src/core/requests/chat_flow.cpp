#include "core/requests/chat_flow.h"

#include "core/routing/version_choice.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    // Maximum number of attempts of a request per cascade step.
    constexpr int maxAttempts = 3;
    // Cost of one rating, in millionths of the currency unit like the cost of a response. Zero because the platform's rating
    // service is free of charge.
    constexpr double ratingCost = 0;
    // Expected number of output tokens as a fraction of the request's maximum.
    constexpr double expectedOutputFraction = 0.5;
    constexpr auto endOfStreamMarker = "[DONE]";

    // The second-to-last event of a stream, with the metadata that a non-streamed response carries in its headers.
    std::string summaryChunk(const RequestState& state, const std::string& model)
    {
        nlohmann::json summary = {
            { "object", "chat.completion.chunk" },
            { "choices", nlohmann::json::array() },
            { "skylarkhitch", { { "request_id", state.request.id.value }, { "model", model }, { "version", state.version.value }, { "cost_micros", state.bill.cost } } },
        };
        return summary.dump();
    }

}

bool ChatFlow::resolveTarget(RequestState& state, TimePoint now, Outbox& out)
{
    const auto& configuration = m_core.configuration();
    const auto& team = configuration.teams.at(state.team);
    const auto& target = state.request.target;
    auto cascade = configuration.cascades.find(CascadeId { target });
    if (cascade != configuration.cascades.end()) {
        if (std::find(team.cascades.begin(), team.cascades.end(), target) == team.cascades.end()) {
            m_core.requests.sendError(state, ErrorKind::NotAllowed, "team '" + team.id.value + "' may not use cascade '" + target + "'", now, out);
            return false;
        }
        for (const auto& it : cascade->second.steps)
            state.steps.push_back({ it });
        state.qualityTarget = cascade->second.qualityTarget;
        return true;
    }
    ModelId model { target };
    if (!configuration.models.contains(model)) {
        m_core.requests.sendError(state, ErrorKind::UnknownTarget, "no model or cascade is named '" + target + "'", now, out);
        return false;
    }
    if (!mayUseModel(configuration, team, model)) {
        m_core.requests.sendError(state, ErrorKind::NotAllowed, "team '" + team.id.value + "' may not use model '" + target + "'", now, out);
        return false;
    }
    state.steps.push_back(model);
    return true;
}

void ChatFlow::accepted(RequestState& state, TimePoint now, Outbox& out)
{
    if (m_core.crashGuard.refuses(state.request.bodyDigest))
        return m_core.requests.sendError(state, ErrorKind::RequestCrashesUpstreams, "upstreams that ran this request crashed", now, out);
    if (resolveTarget(state, now, out))
        chooseStep(state, 0, now, out);
}

bool ChatFlow::versionUsable(const RequestState& state, const VersionId& version, TimePoint now, Outbox& out)
{
    UpstreamRequirements need { .version = version, .tried = &state.tried };
    return m_core.upstreams.anyUsable(need, now)
        && m_core.evidence.mayRun(version, m_core.upstreams.inFlightOn(version), now, out);
}

std::string ChatFlow::choiceKey(const RequestState& state) const
{
    return state.request.session.empty() ? state.request.id.value : state.team.value + "/" + state.request.session.value;
}

std::string ChatFlow::pinKey(const RequestState& state, const ModelId& model) const
{
    return absl::StrCat("pin/", state.team.value, "/", state.request.session.value, "/", model.value);
}

std::vector<PlanStep> ChatFlow::planSteps(RequestState& state, TimePoint now, Outbox& out)
{
    const auto& configuration = m_core.configuration();
    const auto& team = configuration.teams.at(state.team);
    auto usable = [&](const VersionId& version) { return versionUsable(state, version, now, out); };
    std::vector<PlanStep> steps;
    for (const auto& model : state.steps) {
        PlanStep step { .usable = false };
        auto version = chooseVersion(configuration, team, model, choiceKey(state), usable);
        if (const auto* pin = state.request.session.empty() ? nullptr : m_pins.find(pinKey(state, model))) {
            auto it = configuration.versions.find(pin->version);
            bool withdrawn = it != configuration.versions.end() && it->second.withdrawn && !m_core.mutations.ignoreWithdrawal;
            bool pinIsValid = it != configuration.versions.end() && !withdrawn && mayUse(team, it->second);
            if (pinIsValid)
                version = usable(pin->version) ? std::optional(pin->version) : std::nullopt;
        }
        if (version) {
            const auto& settings = configuration.versions.at(*version);
            double tokens = expectedOutputFraction * static_cast<double>(state.request.maxTokens);
            double cost = static_cast<double>(state.request.inputTokens * settings.costPerInputToken) + tokens * static_cast<double>(settings.costPerOutputToken);
            double prior = std::clamp(settings.quality / std::max(0.01, 2 * state.qualityTarget), 0.05, 0.95);
            step = { *version, m_core.passEstimates.passProbability(state.team, state.request.task, *version, prior), cost, true };
        }
        steps.push_back(std::move(step));
    }
    return steps;
}

void ChatFlow::chooseStep(RequestState& state, std::size_t first, TimePoint now, Outbox& out)
{
    // Once part of a stream has been sent to the caller, the request must stay on its version.
    if (state.streamStarted) {
        auto version = m_core.configuration().versions.find(state.version);
        bool withdrawn = version == m_core.configuration().versions.end() || version->second.withdrawn;
        if (withdrawn || !versionUsable(state, state.version, now, out))
            return m_core.requests.sendError(state, ErrorKind::StreamCut, "the stream was interrupted and no upstream of its version can resume it", now, out);
        return queue(state, now, out);
    }
    auto steps = planSteps(state, now, out);
    auto choice = chooseCascadeStep(steps, first, ratingCost, m_core.cascadePolicy);
    if (choice.step == steps.size())
        return m_core.requests.sendError(state, errorForLastAttempt(state, now), "no healthy version that the team may use can run this request now", now, out);
    state.step = choice.step;
    state.check = choice.check;
    state.version = steps[choice.step].version;
    if (state.request.session.empty() || m_core.mutations.dropPin)
        return queue(state, now, out);
    const auto* pin = m_pins.find(pinKey(state, state.steps[state.step]));
    if (pin && pin->version == state.version)
        return queue(state, now, out);
    pinSession(state, pin ? pin->generation + 1 : 0, now, out);
}

void ChatFlow::pinSession(RequestState& state, std::uint64_t generation, TimePoint now, Outbox& out)
{
    state.phase = Phase::Pinning;
    LedgerRecord record { pinKey(state, state.steps[state.step]), now, SessionPin { state.version, generation } };
    m_core.requests.awaitRecord(state, m_core.ledger.append(std::move(record), true, now, out));
}

void ChatFlow::pinned(RequestState& state, const SessionPin& pin, TimePoint now, Outbox& out)
{
    m_pins.learn(pinKey(state, state.steps[state.step]), pin);
    if (pin.version == state.version)
        return queue(state, now, out);
    // The session was already pinned to another version, by another instance or an earlier request: plan again with it.
    chooseStep(state, 0, now, out);
}

void ChatFlow::queue(RequestState& state, TimePoint now, Outbox& out)
{
    UpstreamRequirements need { .version = state.version, .tried = &state.tried };
    m_dispatcher.enqueue(state, poolOf(state.version), need, now, out);
}

std::optional<UpstreamRequirements> ChatFlow::beforeAttempt(RequestState& state, TimePoint now, Outbox& out)
{
    const auto& configuration = m_core.configuration();
    auto team = configuration.teams.find(state.team);
    auto version = configuration.versions.find(state.version);
    if (team == configuration.teams.end()) {
        m_core.requests.sendError(state, ErrorKind::NotAllowed, "the team was removed", now, out);
        return std::nullopt;
    }
    if (m_core.crashGuard.refuses(state.request.bodyDigest)) {
        m_core.requests.sendError(state, ErrorKind::RequestCrashesUpstreams, "upstreams that ran this request crashed", now, out);
        return std::nullopt;
    }
    bool versionAllowed = version != configuration.versions.end() && !version->second.withdrawn && mayUse(team->second, version->second);
    if ((!versionAllowed && !m_core.mutations.ignoreWithdrawal) || !versionUsable(state, state.version, now, out)) {
        chooseStep(state, 0, now, out);
        return std::nullopt;
    }
    return UpstreamRequirements { .version = state.version };
}

void ChatFlow::fillAttempt(const RequestState& state, SendAttempt& attempt) const
{
    attempt.method = "POST";
    attempt.path = "/v1/chat/completions";
    attempt.version = state.version;
    attempt.streamed = state.request.streamed;
    attempt.resumeAfter = state.tokensSent;
}

CallerResponseHead ChatFlow::responseHead(const RequestState& state) const
{
    CallerResponseHead head { .model = state.steps[state.step].value, .version = state.version.value, .cost = state.bill.cost, .ran = Executed::Yes };
    head.contentType = state.request.streamed ? "text/event-stream" : "application/json";
    return head;
}

void ChatFlow::sendChunk(RequestState& state, std::string payload, Outbox& out)
{
    if (state.callerDisconnected)
        return;
    if (!state.streamStarted) {
        state.streamStarted = true;
        out.push_back(CallerStreamStart { state.request.id, responseHead(state) });
    }
    out.push_back(CallerStreamData { state.request.id, std::move(payload) });
}

void ChatFlow::chunkReceived(RequestState& state, AttemptChunk chunk, TimePoint now, Outbox& out)
{
    if (chunk.tokens > 0) {
        if (!state.firstTokenAt)
            state.firstTokenAt = now;
        if (state.lastTokenAt)
            m_core.metrics.tokenGap(state.team, state.rank, now - *state.lastTokenAt);
        state.lastTokenAt = now;
    }
    if (state.check) {
        state.bufferedChunks.push_back(std::move(chunk.payload));
        return;
    }
    state.tokensSent += chunk.tokens;
    sendChunk(state, std::move(chunk.payload), out);
}

void ChatFlow::addUsage(RequestState& state, const Usage& usage)
{
    auto it = m_core.configuration().versions.find(state.version);
    if (it == m_core.configuration().versions.end())
        return;
    state.bill.team = state.team;
    state.bill.inputTokens += usage.inputTokens;
    state.bill.outputTokens += usage.outputTokens;
    state.bill.cost += usage.inputTokens * it->second.costPerInputToken + usage.outputTokens * it->second.costPerOutputToken;
    state.bill.versions.push_back(state.version.value);
}

void ChatFlow::attemptEnded(RequestState& state, AttemptFinished finished, TimePoint now, Outbox& out)
{
    bool wasSent = state.attempts > 0 && state.phase == Phase::Running;
    state.result = std::move(finished);
    if (state.result.end == AttemptEnd::Completed && wasSent)
        return completed(state, now, out);
    failed(state, now, out);
}

void ChatFlow::completed(RequestState& state, TimePoint now, Outbox& out)
{
    // After a resumed stream, the usage reported by the last attempt covers only the part that it generated.
    auto usage = state.result.usage;
    usage.outputTokens = std::max(usage.outputTokens, state.tokensSent);
    addUsage(state, usage);
    if (state.check) {
        state.phase = Phase::Rating;
        startRating(state, state.result.attempt, out);
        return;
    }
    // A sample of the responses that are sent without a prior rating is rated afterwards, to keep the estimates accurate.
    std::uniform_real_distribution<double> unit(0, 1);
    if (unit(m_random) < m_core.configuration().limits.ratedShare)
        startRating(state, state.result.attempt, out);
    recordBill(state, now, out);
}

void ChatFlow::startRating(RequestState& state, AttemptId attempt, Outbox& out)
{
    m_pendingRatings[attempt] = { state.team, state.request.task, state.version, state.qualityTarget };
    std::string answer = state.result.body;
    for (const auto& it : state.bufferedChunks)
        absl::StrAppend(&answer, it, "\n");
    out.push_back(RateResponse { state.request.id, attempt, state.version, state.request.task, std::move(answer) });
}

void ChatFlow::recordRating(const RatingReceived& rating, TimePoint now, Outbox& out)
{
    auto it = m_pendingRatings.find(rating.attempt);
    if (it == m_pendingRatings.end())
        return;
    if (!rating.ec) {
        const auto& about = it->second;
        m_core.evidence.rated(about.version, rating.rating, now, out);
        m_core.passEstimates.observe(about.team, about.task, about.version, rating.rating >= about.target);
    }
    m_pendingRatings.erase(it);
}

void ChatFlow::rated(RequestState& state, const RatingReceived& rating, TimePoint now, Outbox& out)
{
    if (state.phase != Phase::Rating || state.result.attempt != rating.attempt)
        return;
    // A response that cannot be rated is accepted, since it is better than none.
    bool passes = rating.ec || rating.rating >= state.qualityTarget;
    if (passes || state.step + 1 >= state.steps.size())
        return sendBufferedChunks(state, now, out);
    state.bufferedChunks.clear();
    state.tried.clear();
    state.attempts = 0;
    auto answered = state.result;
    auto answeredVersion = state.version;
    auto answeredStep = state.step;
    auto steps = planSteps(state, now, out);
    auto choice = chooseCascadeStep(steps, state.step + 1, ratingCost, m_core.cascadePolicy);
    if (choice.step < steps.size())
        return chooseStep(state, state.step + 1, now, out);
    state.result = std::move(answered);
    state.version = answeredVersion;
    state.step = answeredStep;
    recordBill(state, now, out);
}

void ChatFlow::sendBufferedChunks(RequestState& state, TimePoint now, Outbox& out)
{
    for (auto& it : state.bufferedChunks)
        sendChunk(state, std::move(it), out);
    state.bufferedChunks.clear();
    recordBill(state, now, out);
}

void ChatFlow::recordBill(RequestState& state, TimePoint now, Outbox& out)
{
    state.phase = Phase::Recording;
    if (state.streamed()) {
        sendChunk(state, summaryChunk(state, state.steps[state.step].value), out);
        state.finalChunk = endOfStreamMarker;
    }
    // With an idempotency key, retries by the caller are billed once; without one, each request is billed separately.
    const auto& callerKey = state.request.idempotencyKey;
    auto key = callerKey.empty() ? billKeyForRequest(state.team, state.request.id) : billKeyForIdempotencyKey(state.team, callerKey);
    LedgerRecord record { std::move(key), now, state.bill };
    if (m_core.mutations.billTwice) {
        auto copy = record;
        copy.key += "/again";
        m_core.ledger.append(copy, true, now, out);
    }
    auto ticket = m_core.ledger.append(std::move(record), true, now, out);
    if (m_core.mutations.releaseBeforeBill)
        return sendFinalResponse(state, now, out);
    m_core.requests.awaitRecord(state, ticket);
}

void ChatFlow::sendFinalResponse(RequestState& state, TimePoint now, Outbox& out)
{
    if (state.streamed())
        return m_core.requests.endStream(state, now, out);
    m_core.requests.sendResponse(state, responseHead(state), std::move(state.result.body), now, out);
}

void ChatFlow::recorded(RequestState& state, const AppendResult& result, TimePoint now, Outbox& out)
{
    if (state.phase == Phase::Recording)
        return sendFinalResponse(state, now, out);
    if (state.phase != Phase::Pinning)
        return;
    if (result.existing)
        return pinned(state, std::get<SessionPin>(result.existing->entry), now, out);
    const auto* pin = m_pins.find(pinKey(state, state.steps[state.step]));
    pinned(state, { state.version, pin ? pin->generation + 1 : 0 }, now, out);
}

bool ChatFlow::mayRetry(RequestState& state, TimePoint now)
{
    if (state.attempts >= maxAttempts || now >= state.deadline)
        return false;
    auto end = state.result.end;
    if (end == AttemptEnd::NotSent || end == AttemptEnd::RefusedNotRun)
        return true;
    if (!m_core.retryBudget.take())
        return false;
    m_core.metrics.retried();
    return true;
}

ErrorKind ChatFlow::errorForLastAttempt(const RequestState& state, TimePoint now) const
{
    if (state.attempts == 0)
        return ErrorKind::NoHealthyUpstream;
    switch (state.result.end) {
    case AttemptEnd::RefusedNotRun:
        return ErrorKind::Overloaded;
    case AttemptEnd::TimedOut:
        return now >= state.deadline ? ErrorKind::DeadlineExceeded : ErrorKind::UpstreamFailed;
    case AttemptEnd::Cut:
        return state.tokensSent > 0 ? ErrorKind::StreamCut : ErrorKind::UpstreamFailed;
    case AttemptEnd::UpstreamError:
    case AttemptEnd::Malformed:
        return ErrorKind::UpstreamFailed;
    case AttemptEnd::NotSent:
    case AttemptEnd::Completed:
    case AttemptEnd::Dropped:
        break;
    }
    return ErrorKind::NoHealthyUpstream;
}

void ChatFlow::failed(RequestState& state, TimePoint now, Outbox& out)
{
    const auto& result = state.result;
    if (result.end == AttemptEnd::UpstreamError && result.status >= 400 && result.status < 500)
        return m_core.requests.sendError(state, ErrorKind::UpstreamRejected, "the upstream refused the request: " + result.body.substr(0, 500), now, out);
    if (m_core.crashGuard.refuses(state.request.bodyDigest))
        return m_core.requests.sendError(state, ErrorKind::RequestCrashesUpstreams, "upstreams that ran this request crashed", now, out);
    if (m_core.mutations.cleanEndAfterCut && state.streamStarted)
        return recordBill(state, now, out);
    state.bufferedChunks.clear();
    if (mayRetry(state, now))
        return chooseStep(state, 0, now, out);
    m_core.requests.sendError(state, errorForLastAttempt(state, now), "all attempts on upstreams failed", now, out);
}

void ChatFlow::callerDisconnected(RequestState& state, TimePoint now, Outbox& out)
{
    state.callerDisconnected = true;
    if (state.phase == Phase::Recording)
        return;
    if (state.phase == Phase::Queued)
        m_dispatcher.removeFromQueue(state);
    m_dispatcher.cancelAttempt(state, out);
    // Only the tokens sent to the caller are charged; a request of which nothing was sent is not billed.
    if (state.tokensSent > 0) {
        addUsage(state, { state.request.inputTokens, state.tokensSent });
        return recordBill(state, now, out);
    }
    m_core.requests.discard(state);
}

void ChatFlow::rejectWaiting(RequestState& state, ErrorKind kind, const std::string& message, TimePoint now, Outbox& out)
{
    m_core.requests.sendError(state, kind, message, now, out);
}

void ChatFlow::deadlineExpired(RequestState& state, TimePoint now, Outbox& out)
{
    switch (state.phase) {
    case Phase::Queued:
        m_dispatcher.removeFromQueue(state);
        return m_core.requests.sendError(state, ErrorKind::DeadlineUnreachable, "no upstream slot became free before the deadline", now, out);
    case Phase::Running:
        m_dispatcher.expireAttempt(state, now, out);
        return m_core.requests.sendError(state, ErrorKind::DeadlineExceeded, "the response was not complete by the deadline", now, out);
    case Phase::Rating:
        return sendBufferedChunks(state, now, out);
    default:
        return m_core.requests.sendError(state, ErrorKind::StoreUnavailable, "the ledger record could not be written before the deadline", now, out);
    }
}

}
