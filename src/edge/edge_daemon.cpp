#include "edge/edge_daemon.h"

#include "adapters/log.h"
#include "adapters/wall_clock.h"
#include "core/limits/refusal_episode.h"
#include "edge/control_plane.h"
#include "edge/link_checker.h"
#include "edge/planned_stop.h"
#include "edge/request_forwarder.h"
#include "edge/traffic_state.h"
#include "platform/request_codec.h"

#include <csignal>
#include <thread>

namespace skylarkhitch {

namespace {

    // Callers cache entry addresses for up to three times the TTL that they were given. After that, no caller connects to an
    // address that is no longer returned.
    constexpr int maxAddressCacheFactor = 3;
    // Time that a request needs at most from a caller that used an address at the last moment.
    constexpr Milliseconds lateCallerTime { 400 };
    constexpr Milliseconds urgentReportDelay { 10 };
    // Shortest time between two urgent reports. In a large site each of them may cause some more at many instances.
    constexpr Milliseconds urgentReportPeriod { 20 };
    constexpr Milliseconds urgentReportPeriodOfLargeSite { 100 };
    // The settings file is also polled, since it may change without a SIGHUP.
    constexpr Milliseconds settingsPollPeriod { 2000 };
    // If the caller's failure domain has at least this many entry instances, only these are returned.
    constexpr std::size_t minLocalEntries = 2;
    // The platform uses at most 64 addresses.
    constexpr std::size_t maxEntries = 64;
    constexpr int serviceUnavailable = 503;

    class EdgeDaemon {
    public:
        EdgeDaemon(const EdgeSettings& settings, const SettingsReader& reader)
            : m_settings(settings)
            , m_readSettings(reader)
            , m_self { settings.instance, newIncarnationNumber() }
            , m_traffic(m_trafficLoop, { settings.instance, settings.domain, m_self.number, settings.sessionIdleTimeout(), { settings.retryRatio, settings.retryHeadroom, settings.retryWindow() }, settings.memoryLimitBytes(), settings.promptMemory }, m_metrics)
            , m_control(m_controlLoop, settings, m_self, m_metrics, outputs())
            , m_linkChecker(m_trafficLoop, m_traffic)
            , m_stop(m_trafficLoop, settings.stopGrace(), stopActions())
        {
        }

        int run()
        {
            m_control.start();
            auto descriptorLimit = static_cast<std::int64_t>(m_settings.descriptorLimit);
            m_entryServer = makeServerState([this](std::shared_ptr<CallerConnection> connection, ReceivedRequest request) { return serveCaller(std::move(connection), std::move(request)); });
            m_platformServer = makeServerState([this](std::shared_ptr<CallerConnection> connection, ReceivedRequest request) { return servePlatformRequest(std::move(connection), std::move(request)); });
            m_entryServer->descriptors = DescriptorBudget::forCallers(descriptorLimit);
            m_platformServer->descriptors = DescriptorBudget::forPlatform(descriptorLimit);
            HttpListener entry(m_trafficLoop, m_settings.entryListen, m_entryServer);
            HttpListener ready(m_trafficLoop, m_settings.readyListen, m_platformServer);
            HttpListener directory(m_trafficLoop, m_settings.directoryListen, m_platformServer);
            m_entry = &entry;
            m_traffic.onUrgentNews([this] {
                if (!std::exchange(m_isUrgentReportPending, true))
                    spawn(m_trafficLoop, sendUrgentReport(), "urgent_report");
            });
            m_traffic.onSuspectedLinks([this] { m_linkChecker.checkIfDue(); });
            spawnRestarting(
                m_trafficLoop, [this] { return reportLoop(); }, "report");
            spawnRestarting(
                m_trafficLoop, [this] { return watchSettings(); }, "watch_settings");
            m_stop.awaitSignals();
            auto work = asio::make_work_guard(m_controlLoop);
            std::thread controlThread([this] { runLoop(m_controlLoop, "control"); });
            LogLine(LogLevel::Info, "start").with("entry", m_settings.entryListen).with("peers", m_settings.peerListen).with("store", m_settings.store).with("domain", m_settings.domain.value);
            runLoop(m_trafficLoop, "traffic");
            m_controlLoop.stop();
            controlThread.join();
            return 0;
        }

    private:
        ControlPlane::Outputs outputs()
        {
            return {
                [this](FleetViewPtr view) { asio::post(m_trafficLoop, [this, view = std::move(view)] { setView(view); }); },
                [this](PeerUpdate peerUpdate) { asio::post(m_trafficLoop, [this, peerUpdate = std::move(peerUpdate)]() mutable { m_traffic.learn(std::move(peerUpdate)); }); },
                [this](PeerNews news) { asio::post(m_trafficLoop, [this, news = std::move(news)] { m_traffic.learn(news); }); },
                [this](TimePoint fullUntil) { asio::post(m_trafficLoop, [this, fullUntil] { m_traffic.links().setFullUntil(fullUntil); }); },
            };
        }

        std::shared_ptr<ServerState> makeServerState(RequestHandler handler)
        {
            auto state = std::make_shared<ServerState>();
            state->handler = std::move(handler);
            state->limits = [this] { return limits(); };
            state->memory = m_traffic.memory();
            return state;
        }

        CallerLimits limits() const
        {
            const auto& view = m_traffic.view();
            return view && view->configuration ? view->configuration->limits : CallerLimits {};
        }

        // Also applies limits that have changed to the connections that are open.
        void setView(const FleetViewPtr& view)
        {
            auto earlier = limits();
            m_traffic.setView(view);
            if (limits() == earlier)
                return;
            m_entryServer->applyLimits();
            m_platformServer->applyLimits();
        }

        // Publishes what is held for callers, and logs when requests begin to be refused, or connections closed, and when that has ended.
        void reportExhaustion()
        {
            const auto& memory = *m_traffic.memory();
            auto now = bootNow();
            m_metrics.setState("held_memory_bytes", static_cast<double>(memory.held()));
            m_metrics.setState("held_memory_limit_bytes", static_cast<double>(memory.budget()));
            m_metrics.setState("memory_refusals", static_cast<double>(memory.refusals()));
            m_metrics.setState("descriptor_refusals", static_cast<double>(m_entryServer->refusedForDescriptors));
            m_metrics.setState("displaced_connections", static_cast<double>(m_entryServer->displacedConnections));
            logEpisode(m_memoryRefusals.update(memory.refusals(), now), "memory", memory.refusals());
            auto refusals = m_entryServer->refusedForDescriptors + m_entryServer->displacedConnections;
            logEpisode(m_descriptorRefusals.update(refusals, now), "descriptors", refusals);
        }

        void logEpisode(RefusalEpisode::Change change, std::string_view resource, std::int64_t refusals) const
        {
            if (change == RefusalEpisode::Change::None)
                return;
            bool hasBegun = change == RefusalEpisode::Change::Began;
            const auto& memory = *m_traffic.memory();
            LogLine(hasBegun ? LogLevel::Warning : LogLevel::Info, hasBegun ? "refusals_began" : "refusals_ended").with("resource", resource).with("refusals", refusals).with("held_bytes", static_cast<std::int64_t>(memory.held())).with("held_limit_bytes", static_cast<std::int64_t>(memory.budget())).with("connections", m_entryServer->connections).with("requests", m_entryServer->requests);
        }

        Awaitable<void> serveCaller(std::shared_ptr<CallerConnection> connection, ReceivedRequest request)
        {
            auto run = std::make_shared<RequestForwarder>(m_traffic, std::move(connection), std::move(request));
            co_await run->run();
        }

        Awaitable<void> servePlatformRequest(std::shared_ptr<CallerConnection> connection, ReceivedRequest request)
        {
            EdgeResponse response { .status = 404 };
            if (platform::isReadinessRequest(request.target))
                response.status = m_traffic.isReady() ? 200 : serviceUnavailable;
            else if (platform::isEntryRequest(request.target))
                response = entryResponse(platform::decodeEntryQuery(request.target).domain);
            co_await connection->respond(std::move(response));
        }

        EdgeResponse entryResponse(const DomainId& domain) const
        {
            std::vector<std::string> local, all;
            if (m_traffic.view()) {
                const auto& entries = m_traffic.view()->entries;
                // Instances without links to the upstreams are named only if no other is left.
                bool hasReaching = std::any_of(entries.begin(), entries.end(), [](const auto& it) { return it.reachesUpstreams; });
                for (const auto& it : entries) {
                    if (hasReaching && !it.reachesUpstreams)
                        continue;
                    if (it.domain == domain)
                        local.push_back(it.address);
                    all.push_back(it.address);
                }
            }
            auto& chosen = local.size() >= minLocalEntries ? local : all;
            if (chosen.size() > maxEntries)
                chosen.resize(maxEntries);
            if (chosen.empty())
                return { .status = serviceUnavailable };
            return { .status = 200, .fields = { { "Content-Type", "application/json" } }, .body = platform::encodeEntryResponse(chosen, m_settings.entryCacheTime()) };
        }

        void sendReport(bool isUrgent)
        {
            reportExhaustion();
            auto report = m_traffic.report();
            report.isUrgent = isUrgent;
            report.callerConnections = m_entryServer->connections;
            asio::post(m_controlLoop, [this, report = std::move(report)]() mutable { m_control.handleTrafficReport(std::move(report)); });
        }

        // Sends a report early, and evaluates the crashes that may have caused it. Waits until all that one crash of an upstream
        // causes has been recorded.
        Awaitable<void> sendUrgentReport()
        {
            auto period = m_traffic.isInLargeSite() ? urgentReportPeriodOfLargeSite : urgentReportPeriod;
            co_await sleepFor(m_trafficLoop, std::max(urgentReportDelay, toMilliseconds(m_urgentReportAt + period - bootNow())));
            m_isUrgentReportPending = false;
            m_urgentReportAt = bootNow();
            sendReport(true);
            co_await sleepFor(m_trafficLoop, PromptPartGuard::evaluationDelay);
            m_traffic.evaluateCrashes(bootNow());
        }

        Awaitable<void> reportLoop()
        {
            for (;;) {
                sendReport(false);
                m_linkChecker.checkIfDue();
                co_await sleepFor(m_trafficLoop, FleetMembership::heartbeatPeriod);
            }
        }

        Awaitable<void> watchSettings()
        {
            for (;;) {
                co_await sleepFor(m_trafficLoop, settingsPollPeriod);
                reload();
            }
        }

        // Only the seeds and the log level can change at run time. Addresses are fixed for the lifetime of the process.
        void reload()
        {
            auto settings = m_readSettings();
            if (!settings)
                return;
            bool same = settings->seeds == m_settings.seeds && settings->logLevel == m_settings.logLevel;
            if (same)
                return;
            if (!isLogLevel(settings->logLevel)) {
                LogLine(LogLevel::Error, "settings_invalid").with("log_level", settings->logLevel);
                return;
            }
            LogLine(LogLevel::Info, "reload").with("seeds", static_cast<std::int64_t>(settings->seeds.size())).with("log_level", settings->logLevel);
            setLogLevel(settings->logLevel);
            m_settings.seeds = settings->seeds;
            m_settings.logLevel = settings->logLevel;
            asio::post(m_controlLoop, [this, seeds = settings->seeds] { m_control.addSeeds(seeds); });
        }

        // Callers are directed to other instances. Requests that still arrive are served until no more can arrive.
        StopActions stopActions()
        {
            return {
                .reload = [this] { reload(); },
                .beginDrain = [this](TimePoint exitAt) {
                    LogLine(LogLevel::Info, "stop").with("requests", m_entryServer->requests).with("connections", m_entryServer->connections);
                    m_traffic.stop(exitAt);
                    m_entryServer->closing = true;
                    asio::post(m_controlLoop, [this] { m_control.leave(); }); },
                .isDrained = [this](Milliseconds elapsed) {
                    if (elapsed < m_settings.entryCacheTime() * maxAddressCacheFactor + lateCallerTime)
                        return false;
                    m_entry->stop();
                    return m_entryServer->requests == 0; },
                .endWaits = [this] { m_traffic.endWaits(); },
                .closeUpstreams = [this] { m_traffic.connections().closeAll(); },
                .requests = [this] { return m_entryServer->requests; },
            };
        }

        EdgeSettings m_settings;
        SettingsReader m_readSettings;
        Incarnation m_self;
        EdgeMetrics m_metrics;
        EventLoop m_trafficLoop { 1 };
        EventLoop m_controlLoop { 1 };
        TrafficState m_traffic;
        ControlPlane m_control;
        LinkChecker m_linkChecker;
        PlannedStop m_stop;
        std::shared_ptr<ServerState> m_entryServer;
        std::shared_ptr<ServerState> m_platformServer;
        HttpListener* m_entry = nullptr;
        RefusalEpisode m_memoryRefusals;
        RefusalEpisode m_descriptorRefusals;
        bool m_isUrgentReportPending = false;
        TimePoint m_urgentReportAt {};
    };

}

int runEdge(const EdgeSettings& settings, const SettingsReader& reader)
{
    std::signal(SIGPIPE, SIG_IGN);
    startLog(settings.logLevel, settings.instance.value, LogTarget::StandardOutput);
    auto status = 0;
    {
        EdgeDaemon daemon(settings, reader);
        status = daemon.run();
    }
    stopLog();
    return status;
}

}
