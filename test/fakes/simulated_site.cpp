#include "fakes/simulated_site.h"

#include "core/check.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    constexpr Milliseconds linkDelay { 1 };
    constexpr Milliseconds timePerToken { 10 };
    constexpr Milliseconds callDuration { 5 };
    constexpr Milliseconds loadPeriod { 500 };
    constexpr std::int64_t answerTokens = 8;

    InstanceId instanceId(std::size_t entry) { return { "entry-" + std::to_string(entry) }; }

    std::size_t entryIndex(const InstanceId& id) { return static_cast<std::size_t>(std::stoul(id.value.substr(6))); }

    std::string tokenPayload(const SendAttempt& attempt, std::int64_t n)
    {
        return absl::StrCat("{\"content\":\"", attempt.request.value, ":t", n, "\"}");
    }

}

const char* nameOf(Step step)
{
    const char* names[] = { "accepted", "claim sent", "claim committed", "attempt sent", "first byte", "mid-stream", "last byte", "bill sent", "bill committed", "answer released" };
    return names[static_cast<int>(step)];
}

const char* nameOf(ConfigurationStep step)
{
    const char* names[] = { "read", "swapped", "answered", "applied by second entry", "applied everywhere" };
    return names[static_cast<int>(step)];
}

bool ObservedRequest::succeeded() const
{
    if (request.streamed)
        return streamEnded && !chunks.empty() && chunks.back() == "[DONE]";
    return endedAt && !connectionLost && head.status < 400;
}

std::string ObservedRequest::errorKind() const
{
    const auto& text = request.streamed && !chunks.empty() ? chunks.back() : body;
    auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_object() && json.contains("error") ? json["error"].value("kind", "") : "";
}

std::string ObservedRequest::errorExecuted() const
{
    const auto& text = request.streamed && !chunks.empty() ? chunks.back() : body;
    auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_object() && json.contains("error") ? json["error"].value("ran", "") : "";
}

std::string sampleConfiguration()
{
    return R"(ranks:
  urgent: { order: 0, deadline_ms: 10000, guaranteed_share: 0.3 }
  later: { order: 1, deadline_ms: 15000, guaranteed_share: 0.1 }
models:
  small: { current: small-1 }
  large: { current: large-1 }
versions:
  small-1: { model: small, cost_per_input_token: 1, cost_per_output_token: 2, quality: 0.6 }
  small-2: { model: small, cost_per_input_token: 1, cost_per_output_token: 2, quality: 0.6 }
  large-1: { model: large, cost_per_input_token: 10, cost_per_output_token: 30, quality: 0.9 }
cascades:
  draft: { steps: [small, large], quality_target: 0.7 }
teams:
  weavers: { key_sha256: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa], cascades: [draft], models: [small, large], services: [orders] }
  guests: { key_sha256: [bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb], versions: [small-1] }
services:
  orders: { cost_per_call: 500, rank: urgent }
upstreams:
  s1: { address: "10.0.0.1:1", domain: d0, version: small-1 }
  s2: { address: "10.0.0.2:1", domain: d1, version: small-1 }
  s3: { address: "10.0.0.3:1", domain: d2, version: small-2 }
  s4: { address: "10.0.0.6:1", domain: d0, version: small-2 }
  l1: { address: "10.0.0.4:1", domain: d0, version: large-1 }
  l2: { address: "10.0.0.5:1", domain: d1, version: large-1 }
  o1: { address: "10.0.1.1:1", domain: d0, service: orders }
  o2: { address: "10.0.1.2:1", domain: d1, service: orders }
limits: { attempt_timeout_ms: 3000, claim_timeout_ms: 1500 }
)";
}

CallerRequest chatRequest(const std::string& model, bool streamed, const std::string& session)
{
    CallerRequest request { .kind = CallKind::Chat, .keyDigest = std::string(64, 'a'), .target = model, .body = std::make_shared<const std::string>("{}") };
    request.streamed = streamed;
    request.maxTokens = answerTokens;
    request.inputTokens = 20;
    request.session = { session };
    return request;
}

CallerRequest bookingRequest(const std::string& key, const std::string& body)
{
    CallerRequest request { .kind = CallKind::Service, .keyDigest = std::string(64, 'a'), .target = "orders", .method = "POST", .path = "/slots", .body = std::make_shared<const std::string>(body), .bodyDigest = body };
    request.idempotencyKey = key;
    return request;
}

SimulatedSite::SimulatedSite(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_entries(m_options.entries)
{
    if (m_options.configuration.empty())
        m_options.configuration = sampleConfiguration();
    auto parsed = parseConfiguration(m_options.configuration, "sample");
    if (!parsed.configuration)
        throw UsageError("sample configuration: " + toString(parsed.errors.front()));
    m_configuration = parsed.configuration;
    for (const auto& [id, upstream] : m_configuration->upstreams)
        upstreams[id] = {};
    for (const auto& [id, version] : m_configuration->versions)
        versionQuality[id] = version.quality;
    ConfigurationDocument document { 1, "first", "test", m_now, parsed.text, { { 1, "first", "test", m_now } } };
    newestDocument = document;
    m_firstDocument = encodeDocument(document);
    store.items["config/current"] = { "config/current", m_firstDocument, ++store.revision };
    for (std::size_t n = 0; n < m_entries.size(); ++n)
        start(n);
    reportLoads();
}

SimulatedSite::~SimulatedSite() = default;

void SimulatedSite::start(std::size_t n)
{
    auto& entry = m_entries[n];
    RouterSettings settings;
    settings.self = { instanceId(n), ++entry.incarnation };
    settings.domain = { "d" + std::to_string(n % 3) };
    settings.entryAddress = instanceId(n).value;
    settings.seed = m_options.seed * 100 + n;
    settings.mutations = m_options.mutations;
    settings.admission = m_options.admission;
    settings.cascade = m_options.cascade;
    settings.upstreams.policy = m_options.choice;
    settings.drainGrace = Milliseconds(2000);
    entry.router = std::make_unique<Router>(settings, makeConfigurationReader(), *this);
    entry.frozen = false;
    entry.pendingEvents.clear();
    entry.wakeAt.reset();
    entry.revision = 0;
    InstancesListed listed;
    for (std::size_t k = 0; k < m_entries.size(); ++k)
        listed.instances.push_back({ instanceId(k).value, InstanceRole::Entry, "", false });
    deliver(n, entry.incarnation, listed);
    deliver(n, entry.incarnation, TimerFired {});
}

void SimulatedSite::after(Milliseconds delay, std::function<void()> function)
{
    m_scheduled.push({ m_now + delay, ++m_lastOrder, std::move(function) });
}

void SimulatedSite::run(Milliseconds time)
{
    auto end = m_now + time;
    while (!m_scheduled.empty() && m_scheduled.top().at <= end) {
        auto due = m_scheduled.top();
        m_scheduled.pop();
        m_now = std::max(m_now, due.at);
        due.function();
    }
    m_now = end;
}

void SimulatedSite::addTrace(std::size_t entry, const std::string& line)
{
    if (!tracing)
        return;
    auto ms = std::chrono::duration_cast<Microseconds>(m_now.time_since_epoch()).count() - 1000000000000;
    trace.push_back(absl::StrFormat("%8.1f ms  %s  %s", static_cast<double>(ms) / 1000, instanceId(entry).value, line));
}

void SimulatedSite::deliver(std::size_t n, std::uint64_t incarnation, Event event)
{
    auto& entry = m_entries[n];
    if (!entry.router || entry.incarnation != incarnation)
        return;
    if (entry.frozen) {
        entry.pendingEvents.push_back(std::move(event));
        return;
    }
    if (const auto* piece = std::get_if<AttemptChunk>(&event)) {
        for (const auto& it : m_attempts) {
            if (it->entry == n && it->incarnation == incarnation && it->send.attempt == piece->attempt)
                reportStep(it->next <= 1 ? Step::FirstByte : (it->next == 4 ? Step::MidStream : Step::FirstByte), it->send.request);
        }
    }
    Outbox out;
    entry.router->handle(std::move(event), m_now, out);
    recordRevision(n);
    for (auto& it : out)
        execute(n, std::move(it));
    if (entry.router && entry.router->drained(m_now)) {
        addTrace(n, "stopped");
        for (const auto& it : callers) {
            if (it.entry == n && !it.endedAt)
                interruptedByStop.push_back(it.request.id);
        }
        kill(n);
        return;
    }
    scheduleWake(n);
}

void SimulatedSite::deliverAfter(Milliseconds delay, std::size_t entry, std::uint64_t incarnation, Event event)
{
    after(delay, [this, entry, incarnation, event = std::move(event)]() mutable { deliver(entry, incarnation, std::move(event)); });
}

void SimulatedSite::scheduleWake(std::size_t n)
{
    auto& entry = m_entries[n];
    if (!entry.router)
        return;
    // Wakes at least 200 us later, so that a timer that is always due does not keep virtual time from advancing.
    auto at = std::max(entry.router->nextWake(m_now), m_now + Microseconds(200));
    if (entry.wakeAt && *entry.wakeAt <= at && *entry.wakeAt > m_now)
        return;
    entry.wakeAt = at;
    m_scheduled.push({ at, ++m_lastOrder, [this, n, at, incarnation = entry.incarnation] {
                          auto& it = m_entries[n];
                          if (it.incarnation == incarnation && it.wakeAt == at) {
                              it.wakeAt.reset();
                              deliver(n, incarnation, TimerFired {});
                          }
                      } });
}

void SimulatedSite::reportStep(Step step, const RequestId& request)
{
    if (onStep && request == watchedRequest)
        after(Milliseconds(0), [this, step] {
            if (onStep)
                onStep(step);
        });
}

void SimulatedSite::reportStep(ConfigurationStep step)
{
    if (onConfigurationStep)
        after(Milliseconds(0), [this, step] {
            if (onConfigurationStep)
                onConfigurationStep(step);
        });
}

void SimulatedSite::recordRevision(std::size_t n)
{
    auto& entry = m_entries[n];
    if (entry.router->configManager().revision() == entry.revision)
        return;
    entry.revision = entry.router->configManager().revision();
    appliedRevisions.push_back({ n, entry.revision, m_now });
    if (entry.revision < 2)
        return;
    auto reached = std::count_if(m_entries.begin(), m_entries.end(), [](const auto& it) { return it.revision >= 2; });
    if (reached == 2)
        reportStep(ConfigurationStep::AppliedBySecondEntry);
    if (reached == static_cast<std::ptrdiff_t>(m_entries.size()))
        reportStep(ConfigurationStep::AppliedEverywhere);
}

std::size_t SimulatedSite::send(std::size_t entry, CallerRequest request)
{
    request.id = { "r" + std::to_string(++m_lastRequest) };
    if (request.bodyDigest.empty())
        request.bodyDigest = request.id.value;
    auto number = callers.size();
    callers.push_back({ entry, request, m_now, {}, {}, {}, {}, false, false });
    m_callerIndex[request.id] = number;
    addTrace(entry, absl::StrCat("caller > ", request.id.value, " ", request.kind == CallKind::Chat ? "chat " : "call ", request.target, request.idempotencyKey.empty() ? "" : " key=" + request.idempotencyKey));
    if (!alive(entry)) {
        callers[number].connectionLost = true;
        callers[number].endedAt = m_now;
        return number;
    }
    reportStep(Step::Accepted, request.id);
    deliver(entry, m_entries[entry].incarnation, RequestReceived { request });
    return number;
}

void SimulatedSite::disconnectCaller(std::size_t caller)
{
    auto& it = callers[caller];
    if (it.endedAt)
        return;
    it.endedAt = m_now;
    it.connectionLost = true;
    deliver(it.entry, m_entries[it.entry].incarnation, CallerDisconnected { it.request.id });
}

std::size_t SimulatedSite::edit(std::size_t entry, const std::string& text, Revision base)
{
    EditRequested request { ++m_lastEdit, {}, base };
    request.document.editId = "edit-" + std::to_string(m_lastEdit);
    request.document.author = "operator-" + std::to_string(m_lastEdit);
    request.document.at = m_now;
    auto parsed = parseConfiguration(text, "edit");
    request.document.text = parsed.text;
    addTrace(entry, absl::StrCat("operator > edit ", m_lastEdit, " from revision ", base));
    deliver(entry, m_entries[entry].incarnation, std::move(request));
    return m_lastEdit;
}

void SimulatedSite::restoreFirstConfiguration()
{
    store.items["config/current"] = { "config/current", m_firstDocument, ++store.revision };
    notifyWatches("config/current");
}

void SimulatedSite::kill(std::size_t n)
{
    auto& entry = m_entries[n];
    if (!entry.router)
        return;
    entry.router.reset();
    std::erase_if(m_watches, [&](const auto& it) { return it.entry == n; });
    for (auto& it : callers) {
        if (it.entry == n && !it.endedAt) {
            it.connectionLost = true;
            it.endedAt = m_now;
        }
    }
}

void SimulatedSite::restart(std::size_t n)
{
    if (!alive(n))
        start(n);
}

void SimulatedSite::suspend(std::size_t n) { m_entries[n].frozen = true; }

void SimulatedSite::resume(std::size_t n)
{
    auto& entry = m_entries[n];
    entry.frozen = false;
    entry.wakeAt.reset();
    for (auto& it : std::exchange(entry.pendingEvents, {}))
        deliver(n, entry.incarnation, std::move(it));
    if (entry.router)
        deliver(n, entry.incarnation, TimerFired {});
}

void SimulatedSite::drain(std::size_t n)
{
    if (alive(n))
        deliver(n, m_entries[n].incarnation, DrainRequested {});
}

void SimulatedSite::cutPeers(std::size_t a, std::size_t b, bool cut)
{
    auto pair = std::minmax(a, b);
    if (cut)
        m_cutLinks.insert(pair);
    else
        m_cutLinks.erase(pair);
}

void SimulatedSite::cutStore(std::size_t entry, bool cut) { m_entries[entry].storeCut = cut; }

void SimulatedSite::crash(const UpstreamId& id)
{
    upstreams[id].down = true;
    for (const auto& it : m_attempts) {
        if (it->send.upstream == id && !it->ended)
            finishAttempt(it, { .attempt = it->send.attempt, .end = AttemptEnd::Cut, .status = 0 });
    }
}

void SimulatedSite::execute(std::size_t entry, Action action)
{
    std::visit([&](const auto& it) { handle(entry, it); }, action);
}

ObservedRequest* SimulatedSite::openRequest(std::size_t entry, const RequestId& id)
{
    auto it = m_callerIndex.find(id);
    if (it == m_callerIndex.end())
        return nullptr;
    auto& caller = callers[it->second];
    return caller.entry == entry && !caller.endedAt ? &caller : nullptr;
}

void SimulatedSite::handle(std::size_t entry, const CallerResponse& answer)
{
    addTrace(entry, absl::StrCat("caller < ", answer.request.value, " status=", answer.head.status, " version=", answer.head.version, " cost=", answer.head.cost, " ran=", std::string(executedName(answer.head.ran)), answer.head.status >= 400 ? " " + answer.body : ""));
    if (auto* it = openRequest(entry, answer.request)) {
        it->head = answer.head;
        it->body = answer.body;
        it->endedAt = m_now;
    }
    reportStep(Step::AnswerReleased, answer.request);
}

void SimulatedSite::handle(std::size_t entry, const CallerStreamStart& start)
{
    addTrace(entry, absl::StrCat("caller < ", start.request.value, " stream starts version=", start.head.version));
    if (auto* it = openRequest(entry, start.request))
        it->head = start.head;
}

void SimulatedSite::handle(std::size_t entry, const CallerStreamData& data)
{
    addTrace(entry, absl::StrCat("caller < ", data.request.value, " ", data.payload));
    if (auto* it = openRequest(entry, data.request))
        it->chunks.push_back(data.payload);
}

void SimulatedSite::handle(std::size_t entry, const CallerStreamEnd& end)
{
    addTrace(entry, absl::StrCat("caller < ", end.request.value, " stream ends ", end.payload));
    if (auto* it = openRequest(entry, end.request)) {
        it->chunks.push_back(end.payload);
        it->streamEnded = true;
        it->endedAt = m_now;
    }
    reportStep(Step::AnswerReleased, end.request);
}

void SimulatedSite::reportLedgerSteps(const StoreCall& call, bool committed)
{
    if (!onStep || !absl::StartsWith(call.key, "ledger/"))
        return;
    auto batches = decodeSegment(call.value);
    if (!batches || batches->empty())
        return;
    const auto& request = callers[m_callerIndex.at(watchedRequest)].request;
    const auto& own = request.idempotencyKey.empty() ? watchedRequest.value : request.idempotencyKey;
    for (const auto& it : batches->back().records) {
        if (!absl::EndsWith(it.key, "/" + own))
            continue;
        if (std::holds_alternative<Claim>(it.entry))
            reportStep(committed ? Step::ClaimCommitted : Step::ClaimSent, watchedRequest);
        if (std::holds_alternative<Bill>(it.entry) || std::holds_alternative<Outcome>(it.entry))
            reportStep(committed ? Step::BillCommitted : Step::BillSent, watchedRequest);
    }
}

StoreReply SimulatedSite::applyStore(const StoreCall& call)
{
    StoreReply reply { call.call, StoreStatus::Ok, {} };
    auto it = store.items.find(call.key);
    switch (call.operation) {
    case StoreOperation::List:
        for (auto item = store.items.lower_bound(call.key); item != store.items.end() && absl::StartsWith(item->first, call.key); ++item)
            reply.items.push_back(item->second);
        break;
    case StoreOperation::Remove:
        store.items.erase(call.key);
        break;
    case StoreOperation::Get:
    case StoreOperation::Watch:
        if (it == store.items.end())
            reply.status = StoreStatus::NotFound;
        else
            reply.items.push_back(it->second);
        break;
    case StoreOperation::CompareAndSwap:
        if ((it == store.items.end() ? 0 : it->second.revision) != call.expected) {
            reply.status = StoreStatus::Conflict;
            break;
        }
        store.items[call.key] = { call.key, call.value, ++store.revision };
        ++store.swaps;
        reply.items.push_back({ call.key, {}, store.revision });
        if (call.key == "config/current") {
            newestDocument = *decodeDocument(call.value);
            reportStep(ConfigurationStep::Swapped);
        }
        reportLedgerSteps(call, true);
        notifyWatches(call.key);
        break;
    }
    return reply;
}

void SimulatedSite::notifyWatches(const std::string& key)
{
    auto due = std::partition(m_watches.begin(), m_watches.end(), [&](const auto& it) { return it.call.key != key; });
    for (auto it = due; it != m_watches.end(); ++it)
        deliverAfter(linkDelay, it->entry, it->incarnation, StoreReply { it->call.call, StoreStatus::Ok, { store.items[key] } });
    m_watches.erase(due, m_watches.end());
}

void SimulatedSite::handle(std::size_t entry, const StoreCall& call)
{
    ++store.calls;
    auto incarnation = m_entries[entry].incarnation;
    const char* names[] = { "get", "list", "swap", "remove", "watch" };
    addTrace(entry, absl::StrCat("store > ", names[static_cast<int>(call.operation)], " ", call.key));
    if (call.operation == StoreOperation::CompareAndSwap)
        reportLedgerSteps(call, false);
    if (call.operation == StoreOperation::Get && call.key == "config/current")
        reportStep(ConfigurationStep::Read);
    bool reachable = !store.down && !m_entries[entry].storeCut;
    if (!reachable)
        return deliverAfter(call.timeout, entry, incarnation, StoreReply { call.call, StoreStatus::Unavailable, {} });
    if (call.operation == StoreOperation::Watch) {
        auto it = store.items.find(call.key);
        if (it == store.items.end() || it->second.revision <= call.expected) {
            m_watches.push_back({ entry, incarnation, call });
            after(call.timeout, [this, entry, incarnation, call] {
                auto n = std::erase_if(m_watches, [&](const auto& w) { return w.entry == entry && w.incarnation == incarnation && w.call.call == call.call; });
                if (n > 0)
                    deliver(entry, incarnation, store.down ? StoreReply { call.call, StoreStatus::Unavailable, {} } : applyStore(call));
            });
            return;
        }
    }
    bool isSwap = call.operation == StoreOperation::CompareAndSwap;
    if (isSwap && store.swapsToDelay > 0) {
        --store.swapsToDelay;
        after(call.timeout + Milliseconds(700), [this, call] { applyStore(call); });
        return deliverAfter(call.timeout, entry, incarnation, StoreReply { call.call, StoreStatus::Unavailable, {} });
    }
    bool loseReply = isSwap && store.repliesToLose > 0 && --store.repliesToLose >= 0;
    after(store.latency / 2, [this, entry, incarnation, call, loseReply] {
        auto reply = applyStore(call);
        bool late = store.latency > call.timeout;
        if (loseReply || late)
            deliverAfter(call.timeout, entry, incarnation, StoreReply { call.call, StoreStatus::Unavailable, {} });
        else
            deliverAfter(store.latency - store.latency / 2, entry, incarnation, std::move(reply));
    });
}

void SimulatedSite::handle(std::size_t entry, const SendPeerMessage& message)
{
    auto to = entryIndex(message.to);
    ++peerMessages;
    if (tracing && !std::holds_alternative<Heartbeat>(message.envelope.message)) {
        const char* names[] = { "heartbeat", "append", "appended", "hold", "held", "pull", "push" };
        addTrace(entry, absl::StrCat("peer > ", message.to.value, " ", names[message.envelope.message.index()]));
    }
    auto bytes = encodeEnvelope(message.envelope);
    peerBytes += bytes.size();
    bool lost = std::uniform_real_distribution<double>(0, 1)(m_random) < peerLoss;
    if (lost || m_cutLinks.contains(std::minmax(entry, to)) || !alive(to))
        return;
    // Encodes and decodes the message, so that tests do not depend on fields that the encoding omits.
    auto envelope = decodeEnvelope(bytes);
    if (envelope)
        deliverAfter(linkDelay, to, m_entries[to].incarnation, PeerMessageReceived { std::move(*envelope) });
}

void SimulatedSite::handle(std::size_t entry, const RateResponse& rate)
{
    addTrace(entry, absl::StrCat("rating > ", rate.request.value, " ", rate.version.value));
    deliverAfter(callDuration, entry, m_entries[entry].incarnation, RatingReceived { rate.request, rate.attempt, {}, rating ? rating(rate.request, rate.version) : versionQuality[rate.version] });
}

void SimulatedSite::handle(std::size_t entry, const EditCompleted& answer)
{
    addTrace(entry, absl::StrCat("operator < edit ", answer.ticket, " ", answer.ec ? answer.ec.message() : "accepted", " revision ", answer.revision));
    edits.push_back(answer);
    reportStep(ConfigurationStep::Answered);
}

void SimulatedSite::handle(std::size_t entry, const StateChanged& change)
{
    addTrace(entry, absl::StrCat("state ", change.what, " ", change.subject, " ", change.detail));
    changes.push_back(change);
}

void SimulatedSite::handle(std::size_t entry, const SendAttempt& send)
{
    addTrace(entry, absl::StrCat("upstream > ", send.upstream.value, " ", send.request.value, send.version.empty() ? "" : " version=" + send.version.value, send.resumeAfter > 0 ? absl::StrCat(" resume after ", send.resumeAfter) : ""));
    auto attempt = std::make_shared<Attempt>(Attempt { entry, m_entries[entry].incarnation, send });
    std::erase_if(m_attempts, [](const auto& it) { return it->ended; });
    m_attempts.push_back(attempt);
    reportStep(Step::AttemptSent, send.request);
    after(linkDelay, [this, attempt] { beginAttempt(attempt); });
    after(send.timeout, [this, attempt] {
        if (!attempt->ended)
            finishAttempt(attempt, { .attempt = attempt->send.attempt, .end = AttemptEnd::TimedOut, .status = 0 });
    });
}

void SimulatedSite::handle(std::size_t entry, const CancelAttempt& cancel)
{
    // An upstream with unlimited slots does not cancel; the core must discard its late response.
    for (const auto& it : m_attempts) {
        bool isThis = it->entry == entry && it->incarnation == m_entries[entry].incarnation && it->send.attempt == cancel.attempt;
        if (!isThis || it->ended || upstreams[it->send.upstream].slots == 0)
            continue;
        it->ended = true;
        releaseSlot(it);
    }
}

void SimulatedSite::beginAttempt(const std::shared_ptr<Attempt>& attempt)
{
    if (attempt->ended)
        return;
    const auto& send = attempt->send;
    auto& upstream = upstreams[send.upstream];
    AttemptFinished finished { .attempt = send.attempt, .end = AttemptEnd::NotSent, .status = 0 };
    if (upstream.down)
        return finishAttempt(attempt, finished);
    if (upstream.draining) {
        finished.end = AttemptEnd::RefusedNotRun;
        finished.leaving = true;
        return finishAttempt(attempt, finished);
    }
    runs.push_back({ send.upstream, send.version, send.request, *send.body, send.kind == CallKind::Service, m_now });
    if (!upstream.crashOn.empty() && callers[m_callerIndex.at(send.request)].request.bodyDigest == upstream.crashOn)
        return crash(send.upstream);
    if (upstream.stalled)
        return;
    if (upstream.errorsToReturn > 0) {
        --upstream.errorsToReturn;
        finished.end = AttemptEnd::UpstreamError;
        finished.status = 500;
        return finishAttempt(attempt, finished);
    }
    if (send.kind == CallKind::Service) {
        bool cut = upstream.responsesToCut > 0 && --upstream.responsesToCut >= 0;
        after(callDuration + upstream.extraDelay, [this, attempt, cut] {
            AttemptFinished done { .attempt = attempt->send.attempt, .end = cut ? AttemptEnd::Cut : AttemptEnd::Completed, .status = 201, .contentType = "application/json", .body = "{\"booked\":\"" + *attempt->send.body + "\"}" };
            finishAttempt(attempt, done);
        });
        return;
    }
    if (upstream.slots > 0)
        return acquireSlot(attempt);
    attempt->next = send.resumeAfter;
    after(timePerToken + upstream.extraDelay, [this, attempt] { nextToken(attempt); });
}

void SimulatedSite::acquireSlot(const std::shared_ptr<Attempt>& attempt)
{
    auto& engine = m_engines[attempt->send.upstream];
    if (engine.running < upstreams[attempt->send.upstream].slots)
        return generateResponse(attempt);
    auto at = std::find_if(engine.waiting.begin(), engine.waiting.end(), [&](const auto& it) { return it->send.priority > attempt->send.priority; });
    engine.waiting.insert(at, attempt);
}

// Generates a non-streamed response after the time for all its tokens; load tests do not need the steps in between.
void SimulatedSite::generateResponse(const std::shared_ptr<Attempt>& attempt)
{
    const auto& send = attempt->send;
    const auto& upstream = upstreams[send.upstream];
    ++m_engines[send.upstream].running;
    attempt->holdsSlot = true;
    auto tokens = callers[m_callerIndex.at(send.request)].request.maxTokens;
    after(upstream.perToken * tokens + upstream.extraDelay, [this, attempt, tokens] {
        AttemptFinished done { .attempt = attempt->send.attempt, .end = AttemptEnd::Completed, .status = 200, .contentType = "application/json" };
        done.usage = { 20, tokens };
        done.body = "{\"answer\":\"" + attempt->send.request.value + "\"}";
        finishAttempt(attempt, std::move(done));
    });
}

void SimulatedSite::releaseSlot(const std::shared_ptr<Attempt>& attempt)
{
    if (!std::exchange(attempt->holdsSlot, false))
        return;
    auto& engine = m_engines[attempt->send.upstream];
    --engine.running;
    while (engine.running < upstreams[attempt->send.upstream].slots && !engine.waiting.empty()) {
        auto next = engine.waiting.front();
        engine.waiting.pop_front();
        if (!next->ended)
            generateResponse(next);
    }
}

void SimulatedSite::nextToken(const std::shared_ptr<Attempt>& attempt)
{
    const auto& send = attempt->send;
    auto& upstream = upstreams[send.upstream];
    if (attempt->ended || upstream.stalled)
        return;
    bool midway = attempt->next - send.resumeAfter >= 3;
    if (midway && upstream.responsesToCut > 0) {
        --upstream.responsesToCut;
        return finishAttempt(attempt, { .attempt = send.attempt, .end = AttemptEnd::Cut, .status = 200 });
    }
    if (attempt->next >= answerTokens) {
        AttemptFinished done { .attempt = send.attempt, .end = AttemptEnd::Completed, .status = 200, .contentType = "application/json" };
        done.usage = { 20, answerTokens - send.resumeAfter };
        if (!send.streamed)
            done.body = "{\"answer\":\"" + send.request.value + "\"}";
        return finishAttempt(attempt, std::move(done));
    }
    auto n = attempt->next++;
    if (send.streamed)
        deliver(attempt->entry, attempt->incarnation, AttemptChunk { send.attempt, tokenPayload(send, n), 1 });
    else if (n == 0 || n == 4)
        reportStep(n == 0 ? Step::FirstByte : Step::MidStream, send.request);
    after(timePerToken + upstream.extraDelay, [this, attempt] { nextToken(attempt); });
}

void SimulatedSite::finishAttempt(const std::shared_ptr<Attempt>& attempt, AttemptFinished finished)
{
    if (attempt->ended)
        return;
    attempt->ended = true;
    releaseSlot(attempt);
    reportStep(Step::LastByte, attempt->send.request);
    const char* names[] = { "completed", "not sent", "refused, not run", "error", "cut", "timed out" };
    addTrace(attempt->entry, absl::StrCat("upstream < ", attempt->send.upstream.value, " ", attempt->send.request.value, " ", names[static_cast<int>(finished.end)]));
    deliverAfter(linkDelay, attempt->entry, attempt->incarnation, std::move(finished));
}

void SimulatedSite::reportLoads()
{
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        for (const auto& [id, upstream] : upstreams) {
            LoadReported report { .upstream = id, .askedAt = m_now, .leaving = upstream.draining, .reachable = !upstream.down };
            for (const auto& it : m_attempts)
                report.running += it->send.upstream == id && !it->ended ? 1 : 0;
            deliverAfter(m_options.loadLag, n, m_entries[n].incarnation, report);
        }
    }
    after(loadPeriod, [this] { reportLoads(); });
}

std::vector<LedgerRecord> SimulatedSite::records() const
{
    std::vector<LedgerRecord> all;
    for (auto it = store.items.lower_bound("ledger/"); it != store.items.end() && absl::StartsWith(it->first, "ledger/"); ++it) {
        if (absl::EndsWith(it->first, "!totals"))
            continue;
        auto batches = decodeSegment(it->second.value);
        if (!batches)
            throw UsageError("damaged segment " + it->first);
        for (const auto& batch : *batches)
            all.insert(all.end(), batch.records.begin(), batch.records.end());
    }
    return all;
}

}
