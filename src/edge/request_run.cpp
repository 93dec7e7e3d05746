#include "edge/request_run.h"

#include "adapters/log.h"
#include "platform/request_codec.h"

#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    // A healthy upstream accepts a connection within a few milliseconds; one on a machine without power never answers.
    constexpr Milliseconds connectTime { 300 };
    // Responses that are not event streams are buffered up to this size before they are relayed, so that the request can be
    // retried if a response breaks off.
    constexpr std::size_t mostWholeAnswer = std::size_t { 8 } << 20;
    // Attempts allowed beyond the route's own limit, for upstreams that could not be reached.
    constexpr std::size_t mostUnreached = 6;
    // An upstream that has not answered within this multiple of the target latency has probably lost the request. The event
    // stream factors apply to the first event and to the gap between events.
    constexpr double answerPatience = 2.5;
    constexpr double firstEventPatience = 1.5;
    constexpr Milliseconds leastFirstEventPatience { 2000 };
    constexpr double gapPatience = 2;
    constexpr Milliseconds leastGapPatience { 1500 };
    // With less time than this left, no other upstream could still answer.
    constexpr Milliseconds leastUsefulTime { 30 };
    // Retry-After is at most this part (1/n) of the caller's remaining time; callers ignore a longer one. The same part limits
    // the wait for the first configuration.
    constexpr int longestWaitPart = 3;
    constexpr Milliseconds leastWait { 50 };
    // Engines take an urgency from 0 to 9, of which each rank spans this many steps.
    constexpr std::int64_t urgencyPerRank = 3;
    constexpr std::int64_t leastUrgent = 9;

    Milliseconds scaled(Milliseconds time, double factor)
    {
        return Milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    }

    std::int64_t percent(double part) { return static_cast<std::int64_t>(100 * part); }

    const char* nameOf(AttemptEnd end)
    {
        constexpr const char* names[] = { "completed", "not_sent", "refused_not_run", "upstream_error", "cut", "timed_out", "dropped" };
        return names[static_cast<int>(end)];
    }

    AttemptEnd endOf(TransferEnd end)
    {
        return end == TransferEnd::TimedOut ? AttemptEnd::TimedOut : AttemptEnd::Cut;
    }

    // Identifies one process of an upstream: after a restart it can crash anew, which counts again.
    UpstreamId lifeOf(const UpstreamEntry& upstream) { return { absl::StrCat(upstream.id.value, "/", upstream.born) }; }

    // Whether callers take a status to mean that the request was not run.
    bool promisesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

    AnswerToCaller answerOf(UpstreamAnswer answer, std::string body = {})
    {
        return { answer.status, std::move(answer.reason), std::move(answer.passedOn), std::move(body) };
    }

}

RequestRun::RequestRun(Traffic& traffic, std::shared_ptr<CallerConnection> caller, ReceivedRequest received)
    : m_traffic(traffic)
    , m_caller(std::move(caller))
    , m_received(std::move(received))
{
}

Awaitable<void> RequestRun::run()
{
    auto self = shared_from_this();
    auto error = admit();
    if (error == ErrorKind::NotConfigured) {
        co_await m_traffic.awaitConfiguration(bootNow() + timeLeft() / longestWaitPart);
        if (m_caller->hasLeft()) {
            logEnd("caller_left", 0);
            co_return;
        }
        error = admit();
    }
    if (error != ErrorKind::None) {
        co_await refuse(error);
        co_return;
    }
    m_caller->onLeft([this] {
        if (m_upstream)
            m_upstream->close();
    });
    co_await serve();
}

ErrorKind RequestRun::admit()
{
    m_admitted = {};
    auto& request = m_admitted.request;
    request.method = m_received.method;
    request.target = m_received.target;
    request.body = m_received.body;
    platform::decodeRequest(m_received.fields, request);
    m_view = m_traffic.view();
    m_admitted.configuration = m_view ? m_view->configuration : nullptr;
    if (auto error = admitRequest(m_admitted, m_received.at); error != ErrorKind::None)
        return error;
    m_events = EventStream(request.lastEvent);
    if (request.anyModel && !m_admitted.route->models.empty())
        m_model = m_admitted.route->models.front();
    m_traffic.requestArrived(m_admitted.service->name, m_received.at);
    return m_traffic.crashes().refuses(m_admitted.fingerprint) ? ErrorKind::RequestQuarantined : ErrorKind::None;
}

Awaitable<void> RequestRun::serve()
{
    for (;;) {
        auto now = bootNow();
        if (timeLeft() < leastUsefulTime) {
            co_await refuse(ErrorKind::DeadlineExceeded);
            co_return;
        }
        const auto* upstream = chooseUpstream(now);
        if (!upstream) {
            co_await refuse(ErrorKind::NoHealthyUpstream);
            co_return;
        }
        auto result = co_await sendTo(*upstream);
        if (m_caller->hasLeft()) {
            logEnd("caller_left", 0);
            co_return;
        }
        if (result.isFinal)
            co_return;
        if (result.end == AttemptEnd::Dropped)
            continue;
        bool goesOn = result.repeatTaken || mayRepeat(result, bootNow());
        LogLine(LogLevel::Info, "attempt_failed").with("id", m_admitted.request.id.value).with("upstream", m_tried.back().value).with("end", nameOf(result.end)).with("workload_before", m_workAhead).with("attempts_left", m_admitted.route->maxAttempts - m_runs).with("ms_left", timeLeft().count()).with("retried", goesOn ? "yes" : "no");
        if (!goesOn) {
            co_await refuse(errorAfter(result));
            co_return;
        }
    }
}

const UpstreamEntry* RequestRun::chooseUpstream(TimePoint now)
{
    // Uses the current view, not the one at admission: an upstream may have left in the meantime.
    auto placement = m_traffic.place(m_admitted.service->name, m_admitted.request, now);
    if (!placement.service)
        return nullptr;
    return m_traffic.board().choose({ &m_admitted.request, placement.service, placement.allowed, &m_tried, m_traffic.settings().domain }, now);
}

Awaitable<RequestRun::SendResult> RequestRun::sendTo(UpstreamEntry upstream)
{
    m_tried.push_back(upstream.id);
    // A non-idempotent request gets a new connection: on a reused one, a late response to an earlier request could be taken
    // for its own.
    auto connection = m_admitted.route->kind == RouteKind::NonIdempotent ? nullptr : m_traffic.connections().take(upstream, bootNow());
    bool isOpen = connection != nullptr;
    if (!connection)
        connection = m_traffic.connections().make();
    m_upstream = connection;
    if (!isOpen && !co_await connection->open(upstream.address, std::min(connectTime, timeLeft()))) {
        if (!m_caller->hasLeft())
            upstreamFailed(upstream, AttemptEnd::NotSent);
        co_return SendResult { AttemptEnd::NotSent, false };
    }
    if (m_caller->hasLeft())
        co_return SendResult { AttemptEnd::NotSent, true };
    m_sentAt = bootNow();
    m_promptRead = false;
    m_work = static_cast<std::int64_t>(static_cast<double>(m_admitted.request.promptTokens) * weightOfModel());
    m_verdict.attemptSent();
    ++m_runs;
    if (m_admitted.service->engine)
        m_traffic.board().learnPrompt(m_admitted.route->name, m_admitted.request.promptTokens);
    m_workAhead = m_traffic.board().workOn(upstream.id);
    m_traffic.board().sent(upstream.id, m_work);
    auto result = co_await converse(upstream, connection);
    m_traffic.board().ended(upstream.id, m_work, m_promptRead);
    m_verdict.attemptEnded(result.end);
    m_upstream = nullptr;
    if (result.end != AttemptEnd::NotSent)
        ++m_arrivals;
    if (result.end == AttemptEnd::NotSent || result.end == AttemptEnd::RefusedNotRun)
        --m_runs;
    m_traffic.metrics().attemptEnded(serviceName(), nameOf(result.end));
    bool isBroken = result.end == AttemptEnd::Cut || result.end == AttemptEnd::TimedOut || result.end == AttemptEnd::NotSent;
    if (isBroken) {
        connection->close();
        if (!m_caller->hasLeft())
            upstreamFailed(upstream, result.end);
    }
    co_return result;
}

Awaitable<RequestRun::SendResult> RequestRun::converse(const UpstreamEntry& upstream, std::shared_ptr<UpstreamConnection> connection)
{
    connection->endAfter(patienceFor(m_admitted.route->mayRepeat() && m_runs < m_admitted.route->maxAttempts));
    if (!co_await connection->send(requestHead(upstream), m_admitted.request.body))
        co_return SendResult { AttemptEnd::NotSent, false };
    ResponseHead head;
    auto end = co_await connection->readHead(head);
    if (end != TransferEnd::Ok)
        co_return SendResult { endOf(end), false };
    auto answer = platform::decodeAnswer(head.status, std::move(head.reason), head.fields);
    if (answer.load)
        m_traffic.board().reported(upstream.id, *answer.load, bootNow());
    // A response that does not name this request may be a late response to another one.
    if (answer.answers != m_admitted.request.id && !answer.notRun)
        co_return SendResult { AttemptEnd::Cut, false };
    if (answer.wrongInstance)
        m_traffic.endedLives().end(upstream);
    if (answer.notRun) {
        auto rest = co_await connection->readWholeBody(mostWholeAnswer);
        if (rest.end == TransferEnd::Ok)
            m_traffic.connections().giveBack(upstream, connection, answer.keepsIdle, bootNow());
        co_return SendResult { AttemptEnd::RefusedNotRun, false };
    }
    bool isStream = m_admitted.route->kind == RouteKind::Streaming && answer.isEventStream && answer.status < 300;
    if (isStream && turnsToLargerModel(upstream, answer)) {
        connection->close();
        co_return SendResult { AttemptEnd::Dropped, false };
    }
    if (isStream)
        co_return co_await passStream(upstream, connection, std::move(answer));
    co_return co_await passWhole(upstream, connection, std::move(answer));
}

Awaitable<RequestRun::SendResult> RequestRun::passWhole(const UpstreamEntry& upstream, std::shared_ptr<UpstreamConnection> connection, UpstreamAnswer answer)
{
    auto body = co_await connection->readWholeBody(mostWholeAnswer);
    if (body.end != TransferEnd::Ok)
        co_return SendResult { endOf(body.end), false };
    auto now = bootNow();
    m_traffic.connections().giveBack(upstream, connection, answer.keepsIdle, now);
    bool isGood = answer.status < 500;
    m_traffic.count(releaseRoute(upstream), isGood, toMilliseconds(now - m_sentAt));
    if (isGood)
        upstreamWorked(upstream);
    else
        m_traffic.board().failed(upstream.id, now);
    SendResult result { isGood ? AttemptEnd::Completed : AttemptEnd::UpstreamError, true };
    // The caller already has the head of an event stream, so this response cannot be sent.
    if (m_caller->hasBegun())
        co_return SendResult { AttemptEnd::UpstreamError, false };
    if (!isGood && mayRepeat({ AttemptEnd::UpstreamError, false }, now)) {
        m_failureInHand = answerOf(std::move(answer), std::move(body.bytes));
        co_return SendResult { AttemptEnd::UpstreamError, false, true };
    }
    auto status = answer.status;
    firstByteSent(now);
    co_await m_caller->respond(answerOf(std::move(answer), std::move(body.bytes)));
    logEnd(isGood ? "none" : "upstream_error", status);
    co_return result;
}

Awaitable<RequestRun::SendResult> RequestRun::passStream(const UpstreamEntry& upstream, std::shared_ptr<UpstreamConnection> connection, UpstreamAnswer answer)
{
    m_events.restart();
    auto keepsIdle = answer.keepsIdle;
    // If the stream resumes at another upstream, the caller already has the head of the first one.
    auto head = m_caller->hasBegun() ? std::nullopt : std::optional(answerOf(std::move(answer)));
    for (;;) {
        auto piece = co_await connection->readBody();
        if (m_caller->hasLeft())
            co_return SendResult { AttemptEnd::Cut, true };
        auto events = m_events.feed(piece.bytes);
        if (events.events > 0 && !m_promptRead) {
            auto now = bootNow();
            m_promptRead = true;
            m_traffic.board().begun(upstream.id, m_work);
            m_traffic.board().learnPace(m_workAhead + m_work, toMilliseconds(now - m_sentAt));
            m_traffic.count(releaseRoute(upstream), true, toMilliseconds(now - m_sentAt));
            m_traffic.sessionServed(m_admitted.request, upstream.release, now);
            upstreamWorked(upstream);
        }
        bool isWhole = piece.isLast && !m_events.hasPartialEvent();
        if (head && (events.events > 0 || isWhole)) {
            firstByteSent(bootNow());
            auto begun = *std::exchange(head, std::nullopt);
            co_await m_caller->beginBody(std::move(begun));
        }
        co_await m_caller->writeBody(events.bytes);
        if (isWhole) {
            m_traffic.connections().giveBack(upstream, connection, keepsIdle, bootNow());
            co_await m_caller->endBody();
            logEnd("none", 200);
            co_return SendResult { AttemptEnd::Completed, true };
        }
        if (piece.end != TransferEnd::Ok || piece.isLast)
            co_return SendResult { endOf(piece.end), false };
        auto gap = std::max(leastGapPatience, scaled(m_admitted.route->targetGap, gapPatience));
        connection->endAfter(m_promptRead ? std::min(gap, timeLeft()) : patienceFor(m_runs < m_admitted.route->maxAttempts));
    }
}

bool RequestRun::turnsToLargerModel(const UpstreamEntry& upstream, const UpstreamAnswer& answer)
{
    if (!m_model || !answer.confidence || m_caller->hasBegun() || m_events.last() || m_runs >= m_admitted.route->maxAttempts)
        return false;
    const auto* larger = largerModel(*m_admitted.route, *m_model);
    if (!larger)
        return false;
    auto now = bootNow();
    auto placement = m_traffic.place(m_admitted.service->name, m_admitted.request, now);
    auto& board = m_traffic.board();
    EngineLoad load { board.meanWork(placement.allowed), m_admitted.request.promptTokens, board.promptRatio(m_admitted.route->name), board.pace() };
    auto needed = neededConfidence(load, m_admitted.rank, m_admitted.route->targetLatency - toMilliseconds(now - m_received.at));
    if (*answer.confidence >= needed)
        return false;
    bool mayAsk = m_traffic.takeRepeat(m_admitted.service->name, now, RepeatBudget::partForDoubts);
    LogLine(LogLevel::Info, "low_confidence_answer").with("id", m_admitted.request.id.value).with("model", m_model->value).with("confidence_percent", percent(*answer.confidence)).with("required_percent", percent(needed)).with("mean_work", static_cast<std::int64_t>(load.work)).with("next", mayAsk ? larger->value : "none_within_budget");
    if (!mayAsk)
        return false;
    m_traffic.count(releaseRoute(upstream), true, toMilliseconds(now - m_sentAt));
    m_model = *larger;
    m_tried.clear();
    return true;
}

double RequestRun::weightOfModel() const
{
    return m_model && m_admitted.service->engine ? modelWeight(*m_admitted.service->engine, *m_model) : 1;
}

ReleaseRoute RequestRun::releaseRoute(const UpstreamEntry& upstream) const
{
    return { m_admitted.service->name, upstream.release, m_admitted.route->name, m_model.value_or(ModelId {}) };
}

std::string RequestRun::requestHead(const UpstreamEntry& upstream) const
{
    platform::SendOrders orders { .upstream = upstream.id, .patience = timeLeft(), .team = m_admitted.team, .lastEvent = m_events.last() };
    if (m_admitted.service->engine)
        orders.urgency = std::min(leastUrgent, m_admitted.rank * urgencyPerRank);
    orders.model = m_model;
    return platform::encodeRequestHead(m_admitted.request, orders);
}

bool RequestRun::mayRepeat(const SendResult& result, TimePoint now)
{
    if (timeLeft() < leastUsefulTime || m_tried.size() >= mostUnreached + static_cast<std::size_t>(m_admitted.route->maxAttempts))
        return false;
    // No attempt has reached an upstream yet: the next one needs no retry budget.
    if (result.end == AttemptEnd::NotSent && m_arrivals == 0)
        return true;
    bool mayHaveRun = result.end != AttemptEnd::NotSent && result.end != AttemptEnd::RefusedNotRun;
    if (mayHaveRun && !m_admitted.route->mayRepeat())
        return false;
    if (m_runs >= m_admitted.route->maxAttempts || m_traffic.crashes().refuses(m_admitted.fingerprint) || !chooseUpstream(now))
        return false;
    return m_traffic.takeRepeat(m_admitted.service->name, now);
}

ErrorKind RequestRun::errorAfter(const SendResult& result) const
{
    if (timeLeft() < leastUsefulTime)
        return ErrorKind::DeadlineExceeded;
    if (result.end == AttemptEnd::NotSent)
        return ErrorKind::NoHealthyUpstream;
    return result.end == AttemptEnd::RefusedNotRun ? ErrorKind::Overloaded : ErrorKind::UpstreamFailed;
}

Awaitable<void> RequestRun::refuse(ErrorKind kind)
{
    const auto& row = answerFor(kind);
    if (m_caller->hasBegun()) {
        m_caller->abort();
        logEnd(row.name, 0);
        co_return;
    }
    if (m_failureInHand) {
        auto answer = *std::exchange(m_failureInHand, std::nullopt);
        logEnd("upstream_error", answer.status);
        co_await m_caller->respond(std::move(answer));
        co_return;
    }
    auto verdict = m_verdict.verdict();
    AnswerToCaller answer { .status = row.httpStatus };
    if (verdict != Ran::No && promisesNotRun(answer.status))
        answer.status = answerFor(ErrorKind::UpstreamFailed).httpStatus;
    // If the deadline passed and the request was not run, the status says so, so that the caller may resend it.
    if (verdict == Ran::No && kind == ErrorKind::DeadlineExceeded)
        answer.status = answerFor(ErrorKind::NoHealthyUpstream).httpStatus;
    if (promisesNotRun(answer.status)) {
        auto wait = std::max(leastWait, std::min(row.retryAfter, Milliseconds(timeLeft() / longestWaitPart)));
        answer.fields.push_back({ "Retry-After", absl::StrCat(static_cast<double>(wait.count()) / 1000) });
    }
    logEnd(row.name, answer.status);
    co_await m_caller->respond(std::move(answer));
}

void RequestRun::upstreamFailed(const UpstreamEntry& upstream, AttemptEnd end)
{
    auto now = bootNow();
    if (end != AttemptEnd::NotSent)
        m_traffic.countBroken(lifeOf(upstream).value, releaseRoute(upstream), now);
    if (end == AttemptEnd::Cut) {
        m_traffic.crashes().fell(m_admitted.fingerprint, lifeOf(upstream), now);
        LogLine(LogLevel::Warning, "upstream_connection_lost").with("id", m_admitted.request.id.value).with("upstream", upstream.id.value).with("fingerprint", m_admitted.fingerprint).with("crashes", m_traffic.crashes().fallsOf(m_admitted.fingerprint));
    }
    if (m_traffic.board().failed(upstream.id, now))
        LogLine(LogLevel::Warning, "upstream_ejected").with("id", m_admitted.request.id.value).with("upstream", upstream.id.value).with("service", serviceName()).with("last_end", nameOf(end));
}

void RequestRun::upstreamWorked(const UpstreamEntry& upstream)
{
    m_traffic.board().succeeded(upstream.id);
    m_traffic.crashes().stillUp(lifeOf(upstream), m_sentAt);
    m_traffic.countWorked(lifeOf(upstream).value, m_sentAt);
}

void RequestRun::firstByteSent(TimePoint now)
{
    m_firstByteAt = now;
    m_traffic.metrics().firstByte(m_admitted.team.value_or(TeamId {}), m_admitted.rank, now - m_received.at);
}

void RequestRun::logEnd(std::string_view error, int status) const
{
    auto now = bootNow();
    m_traffic.metrics().requestEnded(m_admitted.team.value_or(TeamId {}), m_admitted.rank, std::string(error), now - m_received.at);
    LogLine line(error == "none" || error == "caller_left" ? LogLevel::Info : LogLevel::Warning, "request");
    line.with("id", m_admitted.request.id.value).with("status", status).with("error", error).with("route", m_admitted.route ? m_admitted.route->name : "").with("team", m_admitted.team ? m_admitted.team->value : "");
    line.with("service", serviceName()).with("upstream", m_tried.empty() ? "" : m_tried.back().value).with("upstreams_tried", static_cast<std::int64_t>(m_tried.size()));
    line.with("attempts_delivered", m_arrivals).with("ran", m_verdict.verdict() == Ran::No ? "no" : "maybe").with("ms", toMilliseconds(now - m_received.at).count());
    if (m_firstByteAt)
        line.with("first_byte_ms", toMilliseconds(*m_firstByteAt - m_received.at).count());
    if (m_model)
        line.with("model", m_model->value);
    if (error == answerFor(ErrorKind::RequestQuarantined).name)
        line.with("fingerprint", m_admitted.fingerprint).with("crashes", m_traffic.crashes().fallsOf(m_admitted.fingerprint));
    if (m_admitted.configuration)
        line.with("configuration", m_admitted.configuration->version).with("view_age_ms", toMilliseconds(now - m_view->freshAt).count());
}

Milliseconds RequestRun::timeLeft() const
{
    return std::max(Milliseconds(0), toMilliseconds(m_admitted.deadline - bootNow()));
}

Milliseconds RequestRun::patienceFor(bool mayTryAnother) const
{
    if (!mayTryAnother)
        return timeLeft();
    auto patience = m_admitted.route->kind == RouteKind::Streaming
        ? std::max(leastFirstEventPatience, scaled(m_admitted.route->targetLatency, firstEventPatience))
        : scaled(m_admitted.route->targetLatency, answerPatience);
    return std::min(patience, timeLeft());
}

}
