#include "core/requests/chat_flow.h"

#include "core/routing/version_choice.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    // Maximum number of attempts of a request per cascade step.
    constexpr int mostAttempts = 3;
    // Cost of one rating, in the unit of the response cost. Zero because the platform's rating service is free of charge.
    constexpr double ratingCost = 0;
    // Expected number of output tokens as a fraction of the request's maximum.
    constexpr double expectedUse = 0.5;
    constexpr auto streamEnd = "[DONE]";

    // The second-to-last event of a stream, with the metadata that a non-streamed response carries in its headers.
    std::string summaryPiece(const RequestState& state, const std::string& model)
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
    const auto& configuration = m_parts.configuration();
    const auto& team = configuration.teams.at(state.team);
    const auto& target = state.request.target;
    auto cascade = configuration.cascades.find(CascadeId { target });
    if (cascade != configuration.cascades.end()) {
        if (std::find(team.cascades.begin(), team.cascades.end(), target) == team.cascades.end()) {
            m_parts.requests.refuse(state, ErrorKind::NotAllowed, "team '" + team.id.value + "' may not use cascade '" + target + "'", now, out);
            return false;
        }
        for (const auto& it : cascade->second.steps)
            state.steps.push_back({ it });
        state.qualityTarget = cascade->second.qualityTarget;
        return true;
    }
    ModelId model { target };
    if (!configuration.models.contains(model)) {
        m_parts.requests.refuse(state, ErrorKind::UnknownTarget, "no model or cascade is named '" + target + "'", now, out);
        return false;
    }
    if (!mayUseModel(configuration, team, model)) {
        m_parts.requests.refuse(state, ErrorKind::NotAllowed, "team '" + team.id.value + "' may not use model '" + target + "'", now, out);
        return false;
    }
    state.steps.push_back(model);
    return true;
}

void ChatFlow::accepted(RequestState& state, TimePoint now, Outbox& out)
{
    if (m_parts.crashes.refuses(state.request.bodyDigest))
        return m_parts.requests.refuse(state, ErrorKind::RequestCrashesUpstreams, "upstreams that ran this request crashed", now, out);
    if (resolveTarget(state, now, out))
        chooseStep(state, 0, now, out);
}

bool ChatFlow::versionUsable(const RequestState& state, const VersionId& version, TimePoint now, Outbox& out)
{
    UpstreamNeed need { .version = version, .tried = &state.tried };
    return m_parts.upstreams.anyUsable(need, now)
        && m_parts.evidence.mayRun(version, m_parts.upstreams.inFlightOn(version), now, out);
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
    const auto& configuration = m_parts.configuration();
    const auto& team = configuration.teams.at(state.team);
    auto usable = [&](const VersionId& version) { return versionUsable(state, version, now, out); };
    std::vector<PlanStep> steps;
    for (const auto& model : state.steps) {
        PlanStep step { .usable = false };
        auto version = chooseVersion(configuration, team, model, choiceKey(state), usable);
        if (const auto* pin = state.request.session.empty() ? nullptr : m_pins.find(pinKey(state, model))) {
            auto it = configuration.versions.find(pin->version);
            bool withdrawn = it != configuration.versions.end() && it->second.withdrawn && !m_parts.mutations.ignoreWithdrawal;
            bool keeps = it != configuration.versions.end() && !withdrawn && mayUse(team, it->second);
            if (keeps)
                version = usable(pin->version) ? std::optional(pin->version) : std::nullopt;
        }
        if (version) {
            const auto& settings = configuration.versions.at(*version);
            double tokens = expectedUse * static_cast<double>(state.request.maxTokens);
            double cost = static_cast<double>(state.request.inputTokens * settings.costPerInputToken) + tokens * static_cast<double>(settings.costPerOutputToken);
            double prior = std::clamp(settings.quality / std::max(0.01, 2 * state.qualityTarget), 0.05, 0.95);
            step = { *version, m_parts.passes.passProbability(state.team, state.request.task, *version, prior), cost, true };
        }
        steps.push_back(std::move(step));
    }
    return steps;
}

void ChatFlow::chooseStep(RequestState& state, std::size_t first, TimePoint now, Outbox& out)
{
    // Once part of a stream has been sent to the caller, the request must stay on its version.
    if (state.streamStarted) {
        auto version = m_parts.configuration().versions.find(state.version);
        bool withdrawn = version == m_parts.configuration().versions.end() || version->second.withdrawn;
        if (withdrawn || !versionUsable(state, state.version, now, out))
            return m_parts.requests.refuse(state, ErrorKind::StreamCut, "the stream was interrupted and no upstream of its version can resume it", now, out);
        return queue(state, now, out);
    }
    auto steps = planSteps(state, now, out);
    auto choice = chooseCascadeStep(steps, first, ratingCost, m_parts.cascadePolicy);
    if (choice.step == steps.size())
        return m_parts.requests.refuse(state, refusalFor(state, now), "no healthy version that the team may use can run this request now", now, out);
    state.step = choice.step;
    state.check = choice.check;
    state.version = steps[choice.step].version;
    if (state.request.session.empty() || m_parts.mutations.dropPin)
        return queue(state, now, out);
    const auto* pin = m_pins.find(pinKey(state, state.steps[state.step]));
    if (pin && pin->version == state.version)
        return queue(state, now, out);
    pinOrQueue(state, pin ? pin->generation + 1 : 0, now, out);
}

void ChatFlow::pinOrQueue(RequestState& state, std::uint64_t generation, TimePoint now, Outbox& out)
{
    state.phase = Phase::Pinning;
    LedgerRecord record { pinKey(state, state.steps[state.step]), now, SessionPin { state.version, generation } };
    m_parts.requests.awaitRecord(state, m_parts.ledger.append(std::move(record), true, now, out));
}

void ChatFlow::pinned(RequestState& state, const SessionPin& pin, TimePoint now, Outbox& out)
{
    m_pins.learn(pinKey(state, state.steps[state.step]), pin);
    if (pin.version == state.version)
        return queue(state, now, out);
    // Another instance or an earlier request has already pinned the session: plan again with that version.
    chooseStep(state, 0, now, out);
}

void ChatFlow::queue(RequestState& state, TimePoint now, Outbox& out)
{
    UpstreamNeed need { .version = state.version, .tried = &state.tried };
    m_dispatcher.enqueue(state, poolOf(state.version), need, now, out);
}

std::optional<UpstreamNeed> ChatFlow::beforeAttempt(RequestState& state, TimePoint now, Outbox& out)
{
    const auto& configuration = m_parts.configuration();
    auto team = configuration.teams.find(state.team);
    auto version = configuration.versions.find(state.version);
    if (team == configuration.teams.end()) {
        m_parts.requests.refuse(state, ErrorKind::NotAllowed, "the team was removed", now, out);
        return std::nullopt;
    }
    if (m_parts.crashes.refuses(state.request.bodyDigest)) {
        m_parts.requests.refuse(state, ErrorKind::RequestCrashesUpstreams, "upstreams that ran this request crashed", now, out);
        return std::nullopt;
    }
    bool fits = version != configuration.versions.end() && !version->second.withdrawn && mayUse(team->second, version->second);
    if ((!fits && !m_parts.mutations.ignoreWithdrawal) || !versionUsable(state, state.version, now, out)) {
        chooseStep(state, 0, now, out);
        return std::nullopt;
    }
    return UpstreamNeed { .version = state.version };
}

void ChatFlow::fillAttempt(const RequestState& state, SendAttempt& attempt) const
{
    attempt.method = "POST";
    attempt.path = "/v1/chat/completions";
    attempt.version = state.version;
    attempt.streamed = state.request.streamed;
    attempt.resumeAfter = state.tokensGiven;
}

AnswerHead ChatFlow::headFor(const RequestState& state) const
{
    AnswerHead head { .model = state.steps[state.step].value, .version = state.version.value, .cost = state.bill.cost, .ran = Ran::Yes };
    head.contentType = state.request.streamed ? "text/event-stream" : "application/json";
    return head;
}

void ChatFlow::givePiece(RequestState& state, std::string payload, Outbox& out)
{
    if (state.callerLeft)
        return;
    if (!state.streamStarted) {
        state.streamStarted = true;
        out.push_back(CallerStreamStart { state.request.id, headFor(state) });
    }
    out.push_back(CallerStreamData { state.request.id, std::move(payload) });
}

void ChatFlow::pieceArrived(RequestState& state, AttemptPiece piece, TimePoint now, Outbox& out)
{
    if (piece.tokens > 0) {
        if (!state.firstTokenAt)
            state.firstTokenAt = now;
        if (state.lastTokenAt)
            m_parts.metrics.tokenGap(state.team, state.rank, now - *state.lastTokenAt);
        state.lastTokenAt = now;
    }
    if (state.check) {
        state.heldPieces.push_back(std::move(piece.payload));
        return;
    }
    state.tokensGiven += piece.tokens;
    givePiece(state, std::move(piece.payload), out);
}

void ChatFlow::addUsage(RequestState& state, const Usage& usage)
{
    auto it = m_parts.configuration().versions.find(state.version);
    if (it == m_parts.configuration().versions.end())
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
    usage.outputTokens = std::max(usage.outputTokens, state.tokensGiven);
    addUsage(state, usage);
    if (state.check) {
        state.phase = Phase::Rating;
        startRating(state, state.result.attempt, out);
        return;
    }
    // A sample of the responses that are sent unchecked is rated afterwards, to keep the estimates accurate.
    std::uniform_real_distribution<double> unit(0, 1);
    if (unit(m_random) < m_parts.configuration().limits.ratedShare)
        startRating(state, state.result.attempt, out);
    recordBill(state, now, out);
}

void ChatFlow::startRating(RequestState& state, AttemptId attempt, Outbox& out)
{
    m_ratings[attempt] = { state.team, state.request.task, state.version, state.qualityTarget };
    std::string answer = state.result.body;
    for (const auto& it : state.heldPieces)
        absl::StrAppend(&answer, it, "\n");
    out.push_back(RateAnswer { state.request.id, attempt, state.version, state.request.task, std::move(answer) });
}

void ChatFlow::learnRating(const RatingArrived& rating, TimePoint now, Outbox& out)
{
    auto it = m_ratings.find(rating.attempt);
    if (it == m_ratings.end())
        return;
    if (!rating.ec) {
        const auto& about = it->second;
        m_parts.evidence.rated(about.version, rating.rating, now, out);
        m_parts.passes.observe(about.team, about.task, about.version, rating.rating >= about.target);
    }
    m_ratings.erase(it);
}

void ChatFlow::rated(RequestState& state, const RatingArrived& rating, TimePoint now, Outbox& out)
{
    if (state.phase != Phase::Rating || state.result.attempt != rating.attempt)
        return;
    // A response that cannot be rated is accepted, since it is better than none.
    bool passes = rating.ec || rating.rating >= state.qualityTarget;
    if (passes || state.step + 1 >= state.steps.size())
        return giveHeldPieces(state, now, out);
    state.heldPieces.clear();
    state.tried.clear();
    state.attempts = 0;
    auto answered = state.result;
    auto answeredVersion = state.version;
    auto answeredStep = state.step;
    auto steps = planSteps(state, now, out);
    auto choice = chooseCascadeStep(steps, state.step + 1, ratingCost, m_parts.cascadePolicy);
    if (choice.step < steps.size())
        return chooseStep(state, state.step + 1, now, out);
    state.result = std::move(answered);
    state.version = answeredVersion;
    state.step = answeredStep;
    recordBill(state, now, out);
}

void ChatFlow::giveHeldPieces(RequestState& state, TimePoint now, Outbox& out)
{
    for (auto& it : state.heldPieces)
        givePiece(state, std::move(it), out);
    state.heldPieces.clear();
    recordBill(state, now, out);
}

void ChatFlow::recordBill(RequestState& state, TimePoint now, Outbox& out)
{
    state.phase = Phase::Recording;
    if (state.streamed()) {
        givePiece(state, summaryPiece(state, state.steps[state.step].value), out);
        state.lastPiece = streamEnd;
    }
    // With an idempotency key, retries by the caller are billed once; without one, each request is billed separately.
    const auto& own = state.request.idempotencyKey;
    auto key = own.empty() ? billKeyForRequest(state.team, state.request.id) : billKeyForCaller(state.team, own);
    LedgerRecord record { std::move(key), now, state.bill };
    if (m_parts.mutations.billTwice) {
        auto copy = record;
        copy.key += "/again";
        m_parts.ledger.append(copy, true, now, out);
    }
    auto ticket = m_parts.ledger.append(std::move(record), true, now, out);
    if (m_parts.mutations.releaseBeforeBill)
        return release(state, now, out);
    m_parts.requests.awaitRecord(state, ticket);
}

void ChatFlow::release(RequestState& state, TimePoint now, Outbox& out)
{
    if (state.streamed())
        return m_parts.requests.endStream(state, now, out);
    m_parts.requests.answer(state, headFor(state), std::move(state.result.body), now, out);
}

void ChatFlow::recorded(RequestState& state, const AppendResult& result, TimePoint now, Outbox& out)
{
    if (state.phase == Phase::Recording)
        return release(state, now, out);
    if (state.phase != Phase::Pinning)
        return;
    if (result.existing)
        return pinned(state, std::get<SessionPin>(result.existing->entry), now, out);
    const auto* pin = m_pins.find(pinKey(state, state.steps[state.step]));
    pinned(state, { state.version, pin ? pin->generation + 1 : 0 }, now, out);
}

bool ChatFlow::mayTryAgain(RequestState& state, TimePoint now)
{
    if (state.attempts >= mostAttempts || now >= state.deadline)
        return false;
    auto end = state.result.end;
    if (end == AttemptEnd::NotSent || end == AttemptEnd::RefusedNotRun)
        return true;
    if (!m_parts.retries.take())
        return false;
    m_parts.metrics.retried();
    return true;
}

ErrorKind ChatFlow::refusalFor(const RequestState& state, TimePoint now) const
{
    if (state.attempts == 0)
        return ErrorKind::NoHealthyUpstream;
    switch (state.result.end) {
    case AttemptEnd::RefusedNotRun:
        return ErrorKind::Overloaded;
    case AttemptEnd::TimedOut:
        return now >= state.deadline ? ErrorKind::DeadlineExceeded : ErrorKind::UpstreamFailed;
    case AttemptEnd::Cut:
        return state.tokensGiven > 0 ? ErrorKind::StreamCut : ErrorKind::UpstreamFailed;
    case AttemptEnd::UpstreamError:
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
        return m_parts.requests.refuse(state, ErrorKind::UpstreamRejected, "the upstream refused the request: " + result.body.substr(0, 500), now, out);
    if (m_parts.crashes.refuses(state.request.bodyDigest))
        return m_parts.requests.refuse(state, ErrorKind::RequestCrashesUpstreams, "upstreams that ran this request crashed", now, out);
    if (m_parts.mutations.cleanEndAfterCut && state.streamStarted)
        return recordBill(state, now, out);
    state.heldPieces.clear();
    if (mayTryAgain(state, now))
        return chooseStep(state, 0, now, out);
    m_parts.requests.refuse(state, refusalFor(state, now), "all attempts on upstreams failed", now, out);
}

void ChatFlow::callerLeft(RequestState& state, TimePoint now, Outbox& out)
{
    state.callerLeft = true;
    if (state.phase == Phase::Recording)
        return;
    if (state.phase == Phase::Queued)
        m_dispatcher.unqueue(state);
    m_dispatcher.cancelAttempt(state, out);
    // Only the tokens sent to the caller are charged; a request of which nothing was sent is not billed.
    if (state.tokensGiven > 0) {
        addUsage(state, { state.request.inputTokens, state.tokensGiven });
        return recordBill(state, now, out);
    }
    m_parts.requests.dropSilently(state);
}

void ChatFlow::giveUp(RequestState& state, ErrorKind kind, const std::string& message, TimePoint now, Outbox& out)
{
    m_parts.requests.refuse(state, kind, message, now, out);
}

void ChatFlow::expired(RequestState& state, TimePoint now, Outbox& out)
{
    switch (state.phase) {
    case Phase::Queued:
        m_dispatcher.unqueue(state);
        return m_parts.requests.refuse(state, ErrorKind::DeadlineUnreachable, "no upstream slot became free before the deadline", now, out);
    case Phase::Running:
        m_dispatcher.expireAttempt(state, now, out);
        return m_parts.requests.refuse(state, ErrorKind::DeadlineExceeded, "the response was not complete by the deadline", now, out);
    case Phase::Rating:
        return giveHeldPieces(state, now, out);
    default:
        return m_parts.requests.refuse(state, ErrorKind::StoreUnavailable, "the ledger record could not be written before the deadline", now, out);
    }
}

}
