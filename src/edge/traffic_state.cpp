#include "edge/traffic_state.h"

#include "adapters/log.h"
#include "core/hashing.h"
#include "core/limits/brittle_upstreams.h"
#include "edge/process_state.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace skylarkhitch {

namespace {

    // Time after process start in which requests wait for the first configuration. Copying the store takes about 30 ms; an
    // instance that the store alone rejects gets the copy from a peer within three heartbeats.
    constexpr Milliseconds startupWait { 1000 };

    // Broken responses are kept this long. An upstream that is alive answers another request within this time.
    constexpr Seconds brokenResponseRetention { 10 };

    // Key that selects the release during a rollout: the session, or the request id if there is no session.
    std::string_view stickyKey(const RoutedRequest& request)
    {
        return request.session.empty() ? std::string_view(request.id.value) : std::string_view(request.session);
    }

    // An instance may have less than 100 MB of memory in all.
    constexpr std::size_t maxBodyMemoryBytes = std::size_t { 8 } << 20;

    constexpr std::string_view rolloutHashSalt = "rollout";
    // Time in which what instances pass on reaches all of a large site.
    constexpr Milliseconds largeSiteNewsTime { 2900 };
    constexpr std::size_t maxPassedOnSessions = 512;

    // Processes that a log line names at most.
    constexpr std::size_t maxLoggedProcesses = 5;

    const char* eventName(UpstreamLimitEvent::Kind kind)
    {
        constexpr const char* names[] = { "upstream_limit_learned", "upstream_limit_changed", "upstream_limit_ended" };
        return names[static_cast<int>(kind)];
    }

    const char* eventName(PromptPartEvent::Kind kind)
    {
        constexpr const char* names[] = { "part_quarantined", "part_released", "part_probed" };
        return names[static_cast<int>(kind)];
    }

}

TrafficState::TrafficState(EventLoop& loop, TrafficSettings settings, EdgeMetrics& metrics)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_balancer(m_settings.seed, { .usesEngineEstimates = true })
    , m_links(m_settings.seed)
    , m_relays(m_settings.seed)
    , m_connections(loop)
    , m_memory(std::make_shared<InstanceMemory>(InstanceMemory::budgetFor(m_settings.memoryLimitBytes)))
    , m_bodyMemory(maxBodyMemoryBytes, m_memory)
    , m_limits(m_settings.instance)
    , m_pauses(m_settings.instance)
    , m_sessions(m_settings.sessionIdleTimeout)
    , m_startedAt(bootNow())
{
}

void TrafficState::stop(TimePoint exitAt)
{
    m_stoppedAt = bootNow();
    m_exitAt = exitAt;
}

void TrafficState::endWaits()
{
    m_exitAt = bootNow();
    m_connections.expireAll();
    for (auto* it : m_configurationTimers)
        it->cancel();
}

bool TrafficState::isExiting(TimePoint now) const { return m_exitAt && now + StopAdmission::minTime >= *m_exitAt; }

void TrafficState::setView(FleetViewPtr view)
{
    m_view = std::move(view);
    if (isConfigured()) {
        for (auto* it : m_configurationTimers)
            it->cancel();
    }
    std::vector<UpstreamEntry> all;
    for (const auto& [service, entries] : m_view->upstreams)
        all.insert(all.end(), entries.begin(), entries.end());
    m_balancer.keepOnly(all);
    auto before = std::count_if(m_view->entries.begin(), m_view->entries.end(), [&](const auto& it) { return it.id < m_settings.instance; });
    m_balancer.setInstance(static_cast<std::size_t>(before), m_view->entries.size());
    forgetReplacedLimits(all);
    // Instances without links to the upstreams send no requests, so they own no shares.
    std::vector<InstanceId> instances;
    for (const auto& it : m_view->entries) {
        if (it.reachesUpstreams)
            instances.push_back(it.id);
    }
    m_limits.setInstances(std::move(instances));
    m_crashes.setRecorded({ m_view->refusedRequests.begin(), m_view->refusedRequests.end() });
    limitCold(bootNow());
    updatePrompts(bootNow());
}

void TrafficState::forgetReplacedLimits(const std::vector<UpstreamEntry>& listed)
{
    if (m_limits.empty())
        return;
    absl::flat_hash_set<std::string> processes;
    absl::flat_hash_set<std::string> ids;
    for (const auto& it : listed) {
        processes.insert(processName(it));
        ids.insert(it.id.value);
    }
    // A process whose entry is missing may be cut off from the store only, and come back with its limit. Limits expire by themselves.
    auto isReplaced = [&](const std::string& process) { return !processes.contains(process) && ids.contains(process.substr(0, process.rfind('/'))); };
    m_limits.keepOnly([&](const std::string& it) { return !isReplaced(it); });
    absl::erase_if(m_brittle, [&](const std::string& it) { return !m_limits.isLimited(it); });
}

void TrafficState::updatePrompts(TimePoint now)
{
    if (!m_settings.usesPromptMemory || !isConfigured())
        return;
    for (const auto& [id, entries] : m_view->upstreams) {
        const auto* service = m_view->configuration->findService(id);
        if (!service || !service->engine || service->engine->memoryTokens <= 0)
            continue;
        std::vector<std::string> processes;
        processes.reserve(entries.size());
        for (const auto& it : entries)
            processes.push_back(processName(it));
        // The choice of an engine already leaves out those without memory for the request.
        PromptPlacementSettings settings;
        settings.saving.displacedWork = 0;
        m_prompts.try_emplace(id, m_settings.domain, settings).first->second.setFleet({ entries.size(), m_view->entries.size() }, processes, now);
    }
}

PromptPlacement* TrafficState::prompts(const ServiceId& id)
{
    auto it = m_prompts.find(id);
    return it == m_prompts.end() ? nullptr : &it->second;
}

void TrafficState::recordPromptRead(const ServiceId& id, const PromptRead& read, TimePoint now)
{
    auto* prompts = this->prompts(id);
    if (!prompts)
        return;
    auto before = prompts->counts();
    prompts->recordRead(read, now);
    const auto& after = prompts->counts();
    m_metrics.sharedPromptTokens("asked", after.asked - before.asked);
    m_metrics.sharedPromptTokens("believed_cached", after.believedCached - before.believedCached);
    m_metrics.sharedPromptTokens("shown_cached", after.shownCached - before.shownCached);
    m_metrics.sharedPromptTokens("shown_uncached", after.shownUncached - before.shownUncached);
}

std::vector<PromptHolding> TrafficState::promptHoldings(TimePoint now)
{
    // In a small site all instances hear each other, so nothing has to be passed on.
    bool passesOn = isInLargeSite() && m_view->passesOnNews;
    std::vector<PromptHolding> holdings;
    for (auto& [id, it] : m_prompts) {
        auto news = it.news(passesOn, now);
        holdings.insert(holdings.end(), news.begin(), news.end());
    }
    return holdings;
}

void TrafficState::limitCold(TimePoint now)
{
    for (const auto& [id, entries] : m_view->upstreams) {
        const auto* service = m_view->configuration ? m_view->configuration->findService(id) : nullptr;
        if (!service || service->coldRequestsPerSecond <= 0)
            continue;
        // Upstreams of a domain that has returned may be cold although their entries do not say so yet. That is not assumed of the
        // only upstreams.
        const auto& domains = m_view->domains;
        bool hasOthers = std::any_of(entries.begin(), entries.end(), [&](const auto& it) { return !domains.isEvacuated(it.domain) && !domains.refilledAt(it.domain, now); });
        for (const auto& it : entries) {
            auto refilledAt = hasOthers ? domains.refilledAt(it.domain, now) : std::nullopt;
            auto coldUntil = std::max(it.coldUntil, refilledAt.value_or(TimePoint {}));
            if (coldUntil > now)
                m_limits.recordCold(processName(it), service->coldRequestsPerSecond, coldUntil, now);
        }
    }
    announceLimits();
}

Awaitable<void> TrafficState::awaitConfiguration(TimePoint until)
{
    until = std::min(until, m_startedAt + startupWait);
    auto now = bootNow();
    if (isConfigured() || now >= until)
        co_return;
    asio::steady_timer timer(m_loop, toMilliseconds(until - now));
    auto position = m_configurationTimers.insert(m_configurationTimers.end(), &timer);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    m_configurationTimers.erase(position);
}

void TrafficState::learn(PeerUpdate news)
{
    auto now = bootNow();
    m_balancer.setPeerWork(std::move(news.work), now);
    for (const auto& [process, crashes] : news.crashes)
        m_crashes.learn(process, crashes, now);
    m_sessions.learn(news.sessions, now);
}

void TrafficState::learn(const PeerNews& news)
{
    m_promptParts.learn(news.promptParts, bootNow());
    // In a large site a hub told it to all others, too. If each of them passed it on at once, one crash would set off a heartbeat of
    // every instance for everything that each of them adds.
    if (m_view && !m_view->passesOnNews)
        m_promptParts.takeUrgent();
    announcePromptParts();
    m_limits.learn(news.limits, bootNow());
    for (auto& [id, it] : m_prompts)
        it.learn(news.promptHoldings, bootNow());
    announceLimits();
}

void TrafficState::recordLimit(const std::string& upstreamProcess, std::optional<double> requestsPerSecond, TimePoint now)
{
    m_limits.recordResponse(upstreamProcess, requestsPerSecond, now);
    announceLimits();
}

void TrafficState::recordLimit(const UpstreamEntry& upstream, const UpstreamResponse& response, TimePoint now)
{
    auto process = processName(upstream);
    const auto* service = m_view->configuration->findService(upstream.service);
    if (service)
        m_limits.recordCold(process, service->coldRequestsPerSecond, now + response.coldFor, now);
    if (!response.admissibleRejections) {
        m_brittle.erase(process);
        recordLimit(process, response.requestLimit, now);
        return;
    }
    if (m_brittle.insert(process).second)
        LogLine(LogLevel::Info, "upstream_brittle").with("process", process).with("rejections_per_second", absl::StrCat(*response.admissibleRejections)).with("slots", upstream.slots);
    recordLimit(process, brittleRequestLimit(upstream.slots, response.requestLimit), now);
    if (response.notRun)
        m_pauses.record(process, brittlePause(*response.admissibleRejections), now);
}

void TrafficState::removeLimited(std::vector<const UpstreamEntry*>& upstreams, std::int64_t rank, TimePoint now) const
{
    if (m_limits.limitedCount() > 0)
        std::erase_if(upstreams, [&](const auto* it) {
            auto process = processName(*it);
            bool isFull = m_brittle.contains(process) && !fitsOwnPlaces(m_balancer.ownRequestsOn(it->id), it->slots, m_limits.ownPart(process));
            return isFull || !m_limits.maySend(process, rank, now);
        });
}

bool TrafficState::isHeld(const UpstreamEntry& upstream, TimePoint now) const
{
    return m_endedIncarnations.contains(upstream) || m_view->domains.isEvacuated(upstream.domain) || (!m_pauses.empty() && m_pauses.isPaused(processName(upstream), now));
}

std::optional<Milliseconds> TrafficState::removePaused(std::vector<const UpstreamEntry*>& upstreams, TimePoint now) const
{
    std::optional<Milliseconds> first;
    if (m_pauses.empty())
        return first;
    std::erase_if(upstreams, [&](const auto* it) {
        auto left = m_pauses.timeLeft(processName(*it), now);
        if (left > Milliseconds(0))
            first = std::min(first.value_or(left), left);
        return left > Milliseconds(0);
    });
    return upstreams.empty() ? first : std::nullopt;
}

Milliseconds TrafficState::timeToUnlimited(const std::vector<const UpstreamEntry*>& upstreams, TimePoint now) const
{
    std::optional<Milliseconds> time;
    for (const auto* it : upstreams) {
        auto next = m_limits.timeToNext(processName(*it), now);
        time = std::min(time.value_or(next), next);
    }
    return time.value_or(Milliseconds(0));
}

void TrafficState::announceLimits()
{
    for (const auto& it : m_limits.takeEvents()) {
        LogLine(LogLevel::Info, eventName(it.kind)).with("process", it.process).with("per_second", absl::StrCat(it.requestsPerSecond)).with("own_share", absl::StrCat(it.ownRate)).with("source", it.fromPeer ? "peer" : "own").with("age_ms", it.age.count());
    }
    if (m_limits.takeUrgent() && m_onUrgentNews)
        m_onUrgentNews();
}

PromptPartGuard::Verdict TrafficState::decideOnParts(const std::vector<std::string>& parts, bool mayHaveRun, TimePoint now)
{
    auto rank = [&](const std::string& name) { return mayHaveRun ? std::nullopt : probeRank(name); };
    auto verdict = m_promptParts.decide(parts, rank, now);
    announcePromptParts();
    return verdict;
}

std::optional<std::size_t> TrafficState::probeRank(const std::string& parts) const
{
    std::vector<InstanceId> instances;
    for (const auto& it : m_view->entries) {
        if (it.reachesUpstreams)
            instances.push_back(it.id);
    }
    auto order = rendezvousOrder(parts, instances);
    auto own = std::find(order.begin(), order.end(), m_settings.instance);
    return own == order.end() ? std::nullopt : std::optional(static_cast<std::size_t>(own - order.begin()));
}

void TrafficState::recordLostRequest(const LostRequest& request, TimePoint now)
{
    if (request.parts.empty())
        return;
    m_promptParts.recordLost(request, now);
    announcePromptParts();
}

void TrafficState::recordRunning(const std::string& upstreamProcess, TimePoint runningAt)
{
    m_promptParts.recordRunning(upstreamProcess, runningAt);
}

void TrafficState::recordServedParts(const std::vector<std::string>& parts, TimePoint now)
{
    m_promptParts.recordServed(parts, now);
    announcePromptParts();
}

void TrafficState::evaluateCrashes(TimePoint now)
{
    m_promptParts.evaluate(now);
    announcePromptParts();
}

void TrafficState::withdrawRefused()
{
    for (auto& it : m_waiting) {
        if (m_promptParts.quarantinedPart(it.parts))
            it.withdraw();
    }
}

void TrafficState::announcePromptParts()
{
    auto events = m_promptParts.takeEvents();
    for (auto& it : events) {
        auto source = it.processes.empty() ? "peer" : "own";
        it.processes.resize(std::min(it.processes.size(), maxLoggedProcesses));
        LogLine(LogLevel::Warning, eventName(it.kind)).with("part", it.parts).with("crashes", it.crashes).with("source", source).with("processes", absl::StrJoin(it.processes, ","));
        m_metrics.promptPart(eventName(it.kind));
    }
    // Only the state after all events counts: one may end what another began.
    if (!events.empty())
        withdrawRefused();
    if (m_promptParts.takeUrgent() && m_onUrgentNews)
        m_onUrgentNews();
}

void TrafficState::recordConnected(TimePoint now)
{
    m_links.connected(now);
    announceLinks();
}

void TrafficState::recordSilence(SilentUpstream failure)
{
    m_links.heardNothing(std::move(failure));
    if (m_onSuspectedLinks)
        m_onSuspectedLinks();
}

std::vector<UpstreamEntry> TrafficState::beginLinkChecks(TimePoint now)
{
    if (m_view->domains.evacuated.empty())
        return m_links.beginRound(m_view->upstreams, now);
    // Operators may have switched off an evacuated domain, and reaching it is of no use to requests.
    auto upstreams = m_view->upstreams;
    for (auto& [id, entries] : upstreams)
        std::erase_if(entries, [&](const auto& it) { return m_view->domains.isEvacuated(it.domain); });
    return m_links.beginRound(upstreams, now);
}

void TrafficState::recordLinkCheck(bool isReached)
{
    m_links.checkEnded(isReached, bootNow());
    announceLinks();
}

bool TrafficState::isOwnLoss(const UpstreamId& upstream, AttemptEnd end, TimePoint sentAt, TimePoint now)
{
    bool areLostTogether = end == AttemptEnd::Cut && m_links.connectionLost(upstream, now);
    if (areLostTogether && m_onSuspectedLinks)
        m_onSuspectedLinks();
    bool isLoss = end == AttemptEnd::Cut || end == AttemptEnd::TimedOut || end == AttemptEnd::NotSent;
    return areLostTogether || (isLoss && m_links.wereLostSince(sentAt));
}

std::optional<RelayCandidate> TrafficState::chooseRelay(const std::set<InstanceId>& tried)
{
    std::vector<RelayCandidate> candidates;
    for (const auto& it : m_view->entries) {
        if (it.reachesUpstreams && it.id != m_settings.instance)
            candidates.push_back({ it.id, it.domain, it.address });
    }
    const auto* chosen = m_relays.choose(candidates, m_settings.domain, tried);
    return chosen ? std::optional(*chosen) : std::nullopt;
}

void TrafficState::announceLinks()
{
    auto now = bootNow();
    for (const auto& it : m_links.takeFailures()) {
        if (it.late)
            recordBrokenResponse(it.late->process, it.late->route, it.late->at);
        if (m_balancer.failed(it.upstream, now))
            LogLine(LogLevel::Warning, "upstream_ejected").with("id", it.request.value).with("upstream", it.upstream.value).with("last_end", it.late ? "timed_out" : "not_sent");
    }
    for (const auto& it : m_links.takeEvents()) {
        auto reaching = std::count_if(m_view->entries.begin(), m_view->entries.end(), [&](const auto& entry) { return entry.reachesUpstreams && entry.id != m_settings.instance; });
        LogLine(LogLevel::Warning, it.isLost ? "links_lost" : "links_regained").with("checked", static_cast<std::int64_t>(it.checked)).with("reached", static_cast<std::int64_t>(it.reached)).with(it.isLost ? "connected_before_ms" : "lost_for_ms", it.duration.count()).with("peers_reaching", static_cast<std::int64_t>(reaching));
        if (m_onUrgentNews)
            m_onUrgentNews();
    }
}

TrafficReport TrafficState::report()
{
    auto now = bootNow();
    ++m_reports;
    m_connections.closeExpired(now);
    m_sessions.forget(now);
    m_crashes.forget(now - CrashGuard::retention);
    m_limits.assignShares(now);
    announceLimits();
    m_pauses.forget(now);
    m_doubts.forget(now);
    m_promptParts.forget(now);
    evaluateCrashes(now);
    m_brokenResponses.forget(now - brokenResponseRetention);
    m_stopAdmission.forget(now);
    return { m_balancer.ownWork(now), m_evidence, m_crashes.own(), { m_promptParts.news(now), m_limits.news(now), promptHoldings(now) }, sessionsForPeers(now), isReady(), m_links.isLost(), m_promptParts.quarantines(now), m_limits.limitedCount(), false, threadCpuTime() };
}

EligibleUpstreams TrafficState::findEligibleUpstreams(const ServiceId& id, const RoutedRequest& request, TimePoint now)
{
    EligibleUpstreams eligible { m_view->configuration->findService(id), {} };
    auto entries = m_view->upstreams.find(id);
    if (!eligible.service || entries == m_view->upstreams.end())
        return eligible;
    auto rollout = m_view->rollouts.find(id);
    std::vector<const UpstreamEntry*> otherReleaseUpstreams;
    for (const auto& it : entries->second) {
        if (m_endedIncarnations.contains(it) || m_view->domains.isEvacuated(it.domain))
            continue;
        bool isEligible = rollout == m_view->rollouts.end() || isReleaseEligible(rollout->second, it.release, request, now);
        (isEligible ? eligible.allowed : otherReleaseUpstreams).push_back(&it);
    }
    // If no upstream of the selected release is left, the other release may serve the request, unless the rollout was
    // suspended or reverted.
    bool mayUseOtherRelease = rollout != m_view->rollouts.end() && !rollout->second.suspended && rollout->second.stage != RolloutStage::Reverted;
    if (eligible.allowed.empty() && mayUseOtherRelease)
        eligible.allowed = std::move(otherReleaseUpstreams);
    preferRefilled(eligible.allowed, now);
    return eligible;
}

void TrafficState::preferRefilled(std::vector<const UpstreamEntry*>& upstreams, TimePoint now) const
{
    if (m_view->domains.returnedAt.empty())
        return;
    auto isRefilled = [&](const UpstreamEntry* it) { return m_view->domains.isRefilled(it->domain, it->id, m_settings.instance, now); };
    if (std::any_of(upstreams.begin(), upstreams.end(), isRefilled))
        std::erase_if(upstreams, [&](const UpstreamEntry* it) { return !isRefilled(it); });
}

bool TrafficState::mustYield(const ServiceId& id, std::int64_t rank) const
{
    auto entries = m_view->upstreams.find(id);
    if (entries == m_view->upstreams.end())
        return false;
    RemainingRoom room;
    bool isEvacuated = false;
    for (const auto& it : entries->second) {
        if (m_view->domains.isEvacuated(it.domain))
            isEvacuated = true;
        else if (!m_endedIncarnations.contains(it)) {
            room.slots += it.slots;
            room.requests += m_balancer.requestsOn(it.id);
        }
    }
    return isEvacuated && yieldsRoom(room, rank);
}

std::vector<RecentSession> TrafficState::sessionsForPeers(TimePoint now) const
{
    auto isUnderWay = [](const auto& it) { return it.second.stage == RolloutStage::Canary || it.second.stage == RolloutStage::Half; };
    bool passesOn = isInLargeSite() && std::any_of(m_view->rollouts.begin(), m_view->rollouts.end(), isUnderWay);
    return passesOn ? m_sessions.inTurn(now, m_reports, maxPassedOnSessions) : m_sessions.own(now);
}

bool TrafficState::awaitsSessions(const RolloutView& rollout, TimePoint now) const
{
    return isInLargeSite() && rollout.stage == RolloutStage::Canary && now < std::max(m_startedAt, rollout.orderedAt) + largeSiteNewsTime;
}

bool TrafficState::isReleaseEligible(const RolloutView& rollout, const std::string& release, const RoutedRequest& request, TimePoint now) const
{
    bool isTarget = release == rollout.target;
    if (rollout.suspended || rollout.stage == RolloutStage::Reverted || awaitsSessions(rollout, now))
        return !isTarget;
    if (rollout.stage == RolloutStage::Full || rollout.stage == RolloutStage::Completed)
        return isTarget;
    auto key = stickyKey(request);
    const auto* sessionRelease = request.session.empty() ? nullptr : m_sessions.releaseOf(hashOf(key), now);
    bool selectsTarget = unitHash(rolloutHashSalt, key) < sessionShareOf(rollout.stage);
    // Active sessions stay on their release during the canary stage. In the half stage they may move to the target release, but
    // never back.
    if (sessionRelease && *sessionRelease == rollout.target)
        selectsTarget = true;
    else if (sessionRelease && rollout.stage == RolloutStage::Canary)
        selectsTarget = false;
    return isTarget == selectsTarget;
}

void TrafficState::recordSessionRelease(const RoutedRequest& request, const std::string& release, TimePoint now)
{
    bool isInCanaryShare = unitHash(rolloutHashSalt, request.session) < sessionShareOf(RolloutStage::Canary);
    if (!request.session.empty() && isInCanaryShare)
        m_sessions.recordServed(hashOf(request.session), release, now);
}

void TrafficState::requestArrived(const ServiceId& service, TimePoint now) { retryBudgetOf(service).requestArrived(now); }

bool TrafficState::takeRetry(const ServiceId& service, RetryReservation& retry, TimePoint now, double part)
{
    return retry.take(retryBudgetOf(service), m_view->knownInstances, now, part);
}

ServiceRetryBudget& TrafficState::retryBudgetOf(const ServiceId& service)
{
    return m_retryBudgets.try_emplace(service, m_settings.retryBudget).first->second;
}

void TrafficState::countSuccess(const ReleaseRoute& key, const std::string& upstreamProcess, Milliseconds latency)
{
    if (m_limits.isLimited(upstreamProcess))
        addSuccessWithoutLatency(m_evidence[key]);
    else
        addSuccess(m_evidence[key], latency);
}

void TrafficState::recordBrokenResponse(const std::string& upstreamProcess, const ReleaseRoute& route, TimePoint now)
{
    m_brokenResponses.recordBroken(upstreamProcess, route, now);
}

void TrafficState::recordAbandoned(const std::string& upstreamProcess, const AbandonedRequest& request)
{
    m_brokenResponses.recordAbandoned(upstreamProcess, request);
}

void TrafficState::recordAnswer(const std::string& upstreamProcess, TimePoint sentAt)
{
    for (const auto& it : m_brokenResponses.recordSucceeded(upstreamProcess, sentAt))
        countFailure(it);
    for (const auto& it : m_brokenResponses.takeAbandoned(upstreamProcess, sentAt))
        addAbandoned(m_evidence[it.route], it.waited);
}

}
