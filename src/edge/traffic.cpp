#include "edge/traffic.h"

#include "core/hashing.h"
#include "edge/process_state.h"

namespace skylarkhitch {

namespace {

    // Crashes are kept for as long as a caller may resend the request that caused them.
    constexpr Seconds crashMemory { 120 };

    // Time after process start in which requests wait for the first configuration. Copying the store takes about 30 ms; an
    // instance that the store alone rejects gets the copy from a peer within three heartbeats.
    constexpr Milliseconds startWait { 1000 };

    // Broken responses are kept this long. An upstream that is alive answers another request within this time.
    constexpr Seconds brokenMemory { 10 };

    // Key that selects the side of a roll-out: the session, or the request id if there is no session.
    std::string_view stickyKey(const RoutedRequest& request)
    {
        return request.session.empty() ? std::string_view(request.id.value) : std::string_view(request.session);
    }

    constexpr std::string_view rolloutSalt = "rollout";

}

Traffic::Traffic(EventLoop& loop, TrafficSettings settings, EdgeMetrics& metrics)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_board(m_settings.seed)
    , m_connections(loop)
    , m_sessions(m_settings.sessionTime)
    , m_startedAt(bootNow())
{
}

void Traffic::adopt(FleetViewPtr view)
{
    m_view = std::move(view);
    if (isConfigured()) {
        for (auto* it : m_waiting)
            it->cancel();
    }
    std::vector<UpstreamEntry> all;
    for (const auto& [service, entries] : m_view->upstreams)
        all.insert(all.end(), entries.begin(), entries.end());
    m_board.keepOnly(all);
}

Awaitable<void> Traffic::awaitConfiguration(TimePoint until)
{
    until = std::min(until, m_startedAt + startWait);
    auto now = bootNow();
    if (isConfigured() || now >= until)
        co_return;
    asio::steady_timer limit(m_loop, toMilliseconds(until - now));
    auto place = m_waiting.insert(m_waiting.end(), &limit);
    boost::system::error_code ec;
    co_await limit.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    m_waiting.erase(place);
}

void Traffic::learn(PeerNews news)
{
    auto now = bootNow();
    m_board.learnPeerWork(std::move(news.work));
    for (const auto& [id, crashes] : news.crashes)
        m_crashes.learn(id, crashes, now);
    m_sessions.learn(news.sessions, now);
}

TrafficReport Traffic::report()
{
    auto now = bootNow();
    m_connections.sweep(now);
    m_sessions.forget(now);
    m_crashes.forget(now - crashMemory);
    m_brokenAnswers.forget(now - brokenMemory);
    return { m_board.ownWork(), m_evidence, m_crashes.own(), m_sessions.own(now), isReady(), threadTime() };
}

Placement Traffic::place(const ServiceId& id, const RoutedRequest& request, TimePoint now)
{
    Placement placement { m_view->configuration->findService(id), {} };
    auto entries = m_view->upstreams.find(id);
    if (!placement.service || entries == m_view->upstreams.end())
        return placement;
    auto rollout = m_view->rollouts.find(id);
    std::vector<const UpstreamEntry*> otherSide;
    for (const auto& it : entries->second) {
        if (m_endedLives.contains(it))
            continue;
        bool fits = rollout == m_view->rollouts.end() || runsOn(rollout->second, it.release, request, now);
        (fits ? placement.allowed : otherSide).push_back(&it);
    }
    // If no upstream of the selected release is left, the other release may serve the request, unless the roll-out was
    // suspended or reverted.
    bool mayStandIn = rollout != m_view->rollouts.end() && !rollout->second.suspended && rollout->second.stage != RolloutStage::Reverted;
    if (placement.allowed.empty() && mayStandIn)
        placement.allowed = std::move(otherSide);
    return placement;
}

bool Traffic::runsOn(const RolloutInForce& rollout, const std::string& release, const RoutedRequest& request, TimePoint now) const
{
    bool isTarget = release == rollout.target;
    if (rollout.suspended || rollout.stage == RolloutStage::Reverted)
        return !isTarget;
    if (rollout.stage == RolloutStage::Full || rollout.stage == RolloutStage::Completed)
        return isTarget;
    auto key = stickyKey(request);
    const auto* underWay = request.session.empty() ? nullptr : m_sessions.releaseOf(hashOf(key), now);
    bool wantsTarget = unitHash(rolloutSalt, key) < shareOf(rollout.stage);
    // Active sessions stay on their release during the canary stage. In the half stage they may move to the target release, but
    // never back.
    if (underWay && *underWay == rollout.target)
        wantsTarget = true;
    else if (underWay && rollout.stage == RolloutStage::Canary)
        wantsTarget = false;
    return isTarget == wantsTarget;
}

void Traffic::sessionServed(const RoutedRequest& request, const std::string& release, TimePoint now)
{
    bool mayBeMoved = unitHash(rolloutSalt, request.session) < shareOf(RolloutStage::Canary);
    if (!request.session.empty() && mayBeMoved)
        m_sessions.seen(hashOf(request.session), release, now);
}

void Traffic::requestArrived(const ServiceId& service, TimePoint now) { budgetOf(service).requestArrived(now); }

bool Traffic::takeRepeat(const ServiceId& service, TimePoint now, double part)
{
    return budgetOf(service).take(m_view->liveInstances, now, part);
}

RepeatBudget& Traffic::budgetOf(const ServiceId& service)
{
    return m_budgets.try_emplace(service, m_settings.repeats).first->second;
}

void Traffic::count(const ReleaseRoute& key, bool isGood, Milliseconds latency)
{
    auto& it = m_evidence[key];
    if (!isGood) {
        ++it.failed;
        return;
    }
    ++it.done;
    it.latency += latency;
}

void Traffic::countBroken(const std::string& life, const ReleaseRoute& route, TimePoint now)
{
    m_brokenAnswers.broke(life, route, now);
}

void Traffic::countWorked(const std::string& life, TimePoint sentAt)
{
    for (const auto& it : m_brokenAnswers.worked(life, sentAt))
        count(it, false, {});
}

}
