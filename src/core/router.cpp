#include "core/router.h"

#include <algorithm>

namespace skylarkhitch {

namespace {

    // Interval at which deadlines are checked while requests are in flight.
    constexpr Milliseconds deadlineCheckInterval { 20 };
    // An instance that can reach a smaller share of its peers counts as isolated if the store is unreachable, too.
    constexpr double minReachablePeerShare = 0.5;
    // Minimum interval between heartbeats, which are sent early when demand grows quickly.
    constexpr Milliseconds minHeartbeatInterval { 100 };

}

struct Router::EventVisitor {
    Router& router;
    TimePoint now;
    Outbox& out;

    template <typename T>
    void operator()(T&& event) { router.on(std::forward<T>(event), now, out); }
};

Router::Router(RouterSettings settings, ConfigurationReader reader, MetricsSink& metrics)
    : m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_membership(m_settings.self, m_settings.domain, m_settings.entryAddress, m_settings.membership)
    , m_configManager(m_membership, m_store, std::move(reader), m_settings.configManager)
    , m_ledger(m_settings.self, m_settings.ledger, m_membership, m_store)
    , m_requests(metrics)
    , m_admission(m_settings.admission)
    , m_upstreams(m_settings.domain, m_settings.upstreams, m_settings.seed)
    , m_evidence(m_settings.evidence)
    , m_core { m_membership, m_configManager, m_ledger, m_requests, m_admission, m_upstreams, m_evidence, m_passEstimates, m_crashGuard, m_retryBudget, metrics, m_settings.cascade, m_settings.mutations }
    , m_dispatcher(m_core)
    , m_chat(m_core, m_dispatcher, m_settings.seed + 1)
    , m_service(m_core, m_dispatcher)
{
    m_configManager.mutateForTest(m_settings.mutations.takeLowerRevision);
    m_requests.mutateForTest(m_settings.mutations.falseNotRun);
}

void Router::handle(Event event, TimePoint now, Outbox& out)
{
    std::visit(EventVisitor { *this, now, out }, std::move(event));
    deliverLedgerResults(now, out);
    if (m_configManager.current() != m_appliedConfiguration)
        configurationChanged();
    if (m_configManager.current())
        m_dispatcher.run(now, out);
}

void Router::configurationChanged()
{
    m_appliedConfiguration = m_configManager.current();
    m_upstreams.configure(m_appliedConfiguration);
    m_evidence.configure(m_appliedConfiguration);
    m_ledger.setLookupWindow(m_appliedConfiguration->limits.lookupWindow);
    m_teamsByKey.clear();
    for (const auto& [id, team] : m_appliedConfiguration->teams) {
        for (const auto& digest : team.keyDigests)
            m_teamsByKey[digest] = id;
    }
}

bool Router::findTeam(RequestState& state, TimePoint now, Outbox& out)
{
    auto it = m_teamsByKey.find(state.request.keyDigest);
    if (it == m_teamsByKey.end()) {
        m_requests.sendError(state, ErrorKind::UnknownKey, "the bearer key belongs to no team", now, out);
        return false;
    }
    state.team = it->second;
    return true;
}

bool Router::findRank(RequestState& state, TimePoint now, Outbox& out)
{
    const auto& ranks = m_core.configuration().ranks;
    const auto& team = m_core.configuration().teams.at(state.team);
    auto requestedRank = state.request.rank;
    if (requestedRank.empty() && state.request.kind == CallKind::Service) {
        auto service = m_core.configuration().services.find(ServiceId { state.request.target });
        if (service != m_core.configuration().services.end())
            requestedRank = service->second.rank;
    }
    // The least urgent rank applies if neither the request nor its service names one.
    auto leastUrgent = std::max_element(ranks.begin(), ranks.end(), [](const auto& a, const auto& b) { return a.second.order < b.second.order; });
    auto it = requestedRank.empty() ? leastUrgent : ranks.find(RankId { requestedRank });
    if (it == ranks.end()) {
        m_requests.sendError(state, ErrorKind::BadHeader, "X-Rank: no rank is named '" + requestedRank + "'", now, out);
        return false;
    }
    auto highest = ranks.find(RankId { team.highestRank });
    if (!state.request.rank.empty() && highest != ranks.end() && it->second.order < highest->second.order) {
        m_requests.sendError(state, ErrorKind::NotAllowed, "team '" + team.id.value + "' may not ask for rank '" + requestedRank + "'", now, out);
        return false;
    }
    state.rank = it->first;
    state.rankOrder = it->second.order;
    state.deadline = state.arrivedAt + state.request.deadline.value_or(it->second.deadline);
    return true;
}

bool Router::passesCommonChecks(RequestState& state, TimePoint now, Outbox& out)
{
    if (!m_configManager.current()) {
        m_requests.sendError(state, ErrorKind::NotConfigured, "no configuration is known yet", now, out);
        return false;
    }
    if (m_cutOff) {
        m_requests.sendError(state, ErrorKind::InstanceCutOff, "this instance can reach neither the store nor most of its peers; query GET /v1/entry on another instance", now, out);
        return false;
    }
    bool gracePeriodOver = m_drainingSince && (now >= *m_drainingSince + m_settings.drainGrace || m_settings.mutations.closeOnDrain);
    if (gracePeriodOver) {
        m_requests.sendError(state, ErrorKind::InstanceDraining, "this instance is shutting down; query GET /v1/entry for another one", now, out);
        return false;
    }
    auto maxBytes = static_cast<std::size_t>(m_core.configuration().limits.maxBodyBytes);
    if (state.request.body && state.request.body->size() > maxBytes) {
        m_requests.sendError(state, ErrorKind::RequestTooLarge, "the request body is larger than limits.max_body_bytes allows", now, out);
        return false;
    }
    return findTeam(state, now, out) && findRank(state, now, out);
}

void Router::on(RequestReceived event, TimePoint now, Outbox& out)
{
    auto& state = m_requests.add(std::move(event.request), now);
    if (!passesCommonChecks(state, now, out))
        return;
    state.flow = state.request.kind == CallKind::Chat ? static_cast<RequestFlow*>(&m_chat) : &m_service;
    state.flow->accepted(state, now, out);
    if (m_dispatcher.demandGrew())
        m_nextHeartbeat = std::min(m_nextHeartbeat, std::max(now, m_lastHeartbeat + minHeartbeatInterval));
}

void Router::on(const CallerDisconnected& event, TimePoint now, Outbox& out)
{
    if (auto* state = m_requests.find(event.request))
        state->flow->callerDisconnected(*state, now, out);
}

void Router::on(AttemptChunk event, TimePoint now, Outbox& out)
{
    auto* state = m_requests.findByAttempt(event.attempt);
    if (!state)
        return m_metrics.strayResponse();
    state->flow->chunkReceived(*state, std::move(event), now, out);
}

void Router::on(AttemptFinished event, TimePoint now, Outbox& out)
{
    auto* state = m_requests.findByAttempt(event.attempt);
    if (!state)
        return m_metrics.strayResponse();
    m_dispatcher.attemptEnded(*state, event, now, out);
    state->flow->attemptEnded(*state, std::move(event), now, out);
}

void Router::on(const RatingReceived& event, TimePoint now, Outbox& out)
{
    m_chat.recordRating(event, now, out);
    if (auto* state = m_requests.find(event.request))
        state->flow->rated(*state, event, now, out);
}

void Router::on(const StoreReply& event, TimePoint now, Outbox& out)
{
    m_store.reply(event, now, out);
}

void Router::on(const LoadReported& event, TimePoint now, Outbox& out)
{
    m_upstreams.loadReported(event, now, out);
    if (event.reachable)
        m_crashGuard.recordAlive(event.upstream, event.askedAt);
}

void Router::on(const InstancesListed& event, TimePoint, Outbox& out)
{
    m_upstreams.listed(event.instances, out);
    std::vector<InstanceId> entries;
    for (const auto& it : event.instances) {
        if (it.role == InstanceRole::Entry)
            entries.push_back({ it.id });
    }
    m_membership.setListedInstances(entries);
}

void Router::heartbeatReceived(const Incarnation& from, const Heartbeat& heartbeat, TimePoint now, Outbox& out)
{
    if (!m_membership.onHeartbeat(from, heartbeat, now, out))
        return;
    for (const auto& id : m_upstreams.learn(from.instance, heartbeat.upstreams)) {
        auto upstream = m_appliedConfiguration ? m_appliedConfiguration->upstreams.find(id) : std::map<UpstreamId, Upstream>::const_iterator();
        if (m_appliedConfiguration && upstream != m_appliedConfiguration->upstreams.end() && !upstream->second.version.empty())
            m_evidence.upstreamCrashed(upstream->second.version, id, now, out);
    }
    m_dispatcher.invalidateSlotQuotas();
    m_evidence.learn(from, heartbeat.versions, now, out);
    m_crashGuard.learn(from, heartbeat.crashes, now);
    m_configManager.onPeerRevision(from.instance, heartbeat.revision, now, out);
}

void Router::on(const PeerMessageReceived& event, TimePoint now, Outbox& out)
{
    const auto& [from, message] = event.envelope;
    if (from.instance == m_settings.self.instance)
        return;
    if (const auto* heartbeat = std::get_if<Heartbeat>(&message))
        heartbeatReceived(from, *heartbeat, now, out);
    else if (const auto* append = std::get_if<AppendRequest>(&message))
        m_ledger.onPeer(from, *append, now, out);
    else if (const auto* appended = std::get_if<AppendReply>(&message))
        m_ledger.onPeer(*appended, now, out);
    else if (const auto* hold = std::get_if<HoldRequest>(&message))
        m_ledger.onPeer(from, *hold, now, out);
    else if (const auto* held = std::get_if<HoldReply>(&message))
        m_ledger.onPeer(*held);
    else if (std::holds_alternative<ConfigurationPull>(message))
        m_configManager.onConfigurationPull(from.instance, out);
    else if (const auto* push = std::get_if<ConfigurationPush>(&message))
        m_configManager.adopt(push->document, out);
}

void Router::on(EditRequested event, TimePoint now, Outbox& out)
{
    m_configManager.edit(std::move(event), now, out);
}

void Router::sendHeartbeats(TimePoint now, Outbox& out)
{
    m_lastHeartbeat = now;
    m_nextHeartbeat = now + m_settings.membership.heartbeatPeriod;
    Heartbeat heartbeat { .domain = m_settings.domain, .entryAddress = m_settings.entryAddress, .revision = m_configManager.revision(), .leaving = m_draining, .storeReachable = m_store.reachable(), .sequence = ++m_sequence };
    heartbeat.upstreams = m_upstreams.own();
    heartbeat.versions = m_evidence.own();
    heartbeat.crashes = m_crashGuard.ownCounts();
    if (m_configManager.current())
        heartbeat.demands = m_dispatcher.updateAnnouncedDemands();
    for (const auto& it : m_membership.peers())
        out.push_back(SendPeerMessage { it, { m_settings.self, heartbeat } });
}

void Router::expireRequests(TimePoint now, Outbox& out)
{
    m_nextDeadlineCheck = now + deadlineCheckInterval;
    auto claimTimeout = m_configManager.current() ? m_core.configuration().limits.claimTimeout : Milliseconds(0);
    for (const auto& id : m_requests.ids()) {
        auto* state = m_requests.find(id);
        if (!state)
            continue;
        bool claimTimedOut = state->phase == Phase::Claiming && now >= state->claimStartedAt + claimTimeout;
        if (now >= state->deadline || claimTimedOut)
            state->flow->deadlineExpired(*state, now, out);
        else if (state->nextOutcomeCheck && now >= *state->nextOutcomeCheck)
            state->flow->checkOutcome(*state, now, out);
    }
    if (m_configManager.current())
        m_crashGuard.forget(now - m_core.configuration().limits.crashMemory);
}

void Router::checkCutOff(TimePoint now, Outbox& out)
{
    bool isolated = m_membership.reachableShare() < minReachablePeerShare && !m_store.reachable();
    if (!isolated)
        m_isolatedSince.reset();
    else if (!m_isolatedSince)
        m_isolatedSince = now;
    bool cutOff = m_isolatedSince && now >= *m_isolatedSince + m_settings.cutOffAfter;
    if (cutOff != m_cutOff)
        out.push_back(StateChanged { "instance", m_settings.self.instance.value, cutOff ? "cut off" : "connected" });
    m_cutOff = cutOff;
}

void Router::on(const TimerFired&, TimePoint now, Outbox& out)
{
    for (const auto& removedPeer : m_membership.wake(now, out)) {
        m_upstreams.forget(removedPeer);
        m_dispatcher.invalidateSlotQuotas();
    }
    m_configManager.wake(now, out);
    m_ledger.wake(now, out);
    checkCutOff(now, out);
    if (now >= m_nextHeartbeat)
        sendHeartbeats(now, out);
    if (now >= m_nextDeadlineCheck)
        expireRequests(now, out);
}

void Router::on(const DrainRequested&, TimePoint now, Outbox& out)
{
    if (m_draining)
        return;
    m_draining = true;
    m_drainingSince = now;
    out.push_back(StateChanged { "instance", m_settings.self.instance.value, "draining" });
    sendHeartbeats(now, out);
}

void Router::deliverLedgerResults(TimePoint now, Outbox& out)
{
    // Handling a result may append another record whose result is available immediately.
    for (auto results = m_ledger.takeResults(now, out); !results.empty(); results = m_ledger.takeResults(now, out)) {
        for (const auto& it : results) {
            if (auto* state = m_requests.findByTicket(it.ticket))
                state->flow->recorded(*state, it, now, out);
        }
    }
}

TimePoint Router::nextWake(TimePoint now) const
{
    auto next = std::min(m_nextHeartbeat, now + m_settings.membership.heartbeatPeriod);
    if (m_requests.size() > 0)
        next = std::min(next, m_nextDeadlineCheck);
    if (auto at = m_ledger.nextWake())
        next = std::min(next, *at);
    if (auto at = m_configManager.nextWake())
        next = std::min(next, *at);
    return std::max(next, now);
}

EntryResponse Router::chooseEntry(const EntryQuery& question) const
{
    return skylarkhitch::chooseEntry(m_membership, question, m_draining || m_cutOff, static_cast<std::int64_t>(m_requests.size()));
}

const Team* Router::teamByKey(const std::string& digest) const
{
    auto it = m_teamsByKey.find(digest);
    return it == m_teamsByKey.end() ? nullptr : &m_appliedConfiguration->teams.at(it->second);
}

void Router::endRequests(TimePoint now, Outbox& out)
{
    for (const auto& id : m_requests.ids()) {
        if (auto* state = m_requests.find(id))
            state->flow->deadlineExpired(*state, now, out);
    }
    deliverLedgerResults(now, out);
}

bool Router::drained(TimePoint now) const
{
    if (!m_drainingSince)
        return false;
    if (m_settings.mutations.closeOnDrain)
        return true;
    return now >= *m_drainingSince + m_settings.drainGrace && m_requests.size() == 0 && m_ledger.unconfirmedRecords() == 0;
}

}
