#include "daemon/daemon.h"

#include "adapters/http_store.h"
#include "adapters/http_upstream_client.h"
#include "adapters/log.h"
#include "adapters/memory_store.h"
#include "adapters/port_reservation.h"
#include "adapters/wall_clock.h"
#include "config/parse_configuration.h"
#include "core/check.h"
#include "daemon/caller_api.h"
#include "daemon/operator_api.h"
#include "daemon/platform_documents.h"
#include "daemon/platform_poller.h"

#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace skylarkhitch {

namespace {

    constexpr Milliseconds ratingTimeout { 3000 };
    constexpr Milliseconds drainCheckPeriod { 20 };
    // At an early exit, requests whose responses are being recorded get this time until they end with an error.
    constexpr Milliseconds recordingTime { 400 };
    constexpr Milliseconds maxEndingTime { 1000 };
    // Time for the last responses to be written.
    constexpr Milliseconds lastResponsesTime { 200 };
    constexpr std::size_t bodyLimitBytes = 8 << 20;

    std::string readFile(const std::string& path)
    {
        std::ifstream in(path);
        USAGE_CHECK(in.good()) << "cannot read file '" << path << "'";
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    RouterSettings routerSettings(const NodeSettings& node)
    {
        RouterSettings settings;
        settings.self = { node.instance, newIncarnationNumber() };
        settings.domain = node.domain;
        settings.entryAddress = node.entryAddress;
        settings.seed = node.seed != 0 ? static_cast<std::uint64_t>(node.seed) : settings.self.number;
        settings.membership.heartbeatPeriod = node.heartbeatPeriod;
        settings.membership.suspectAfter = node.heartbeatPeriod * 3 + Milliseconds(100);
        settings.membership.removeAfter = node.heartbeatPeriod * 10;
        settings.ledger.shards = static_cast<std::uint32_t>(node.ledgerShards);
        // Each shard has one writer at a time, so this interval keeps all shards together within the site's write budget.
        settings.ledger.shard.swapInterval = Microseconds(1000000 * node.ledgerShards / node.storeWritesPerSecond);
        // The in-memory store has no write budget.
        if (node.platform == "memory")
            settings.ledger.shard.swapInterval = Microseconds(0);
        settings.drainGrace = node.drainGrace;
        settings.cutOffAfter = node.cutOffAfter;
        return settings;
    }

    LogLevel logLevelOf(const StateChanged& change)
    {
        bool bad = change.detail == "quarantined" || change.detail == "removed" || change.detail == "cut off" || change.detail == "ejected";
        return bad ? LogLevel::Warning : LogLevel::Info;
    }

    // Executes the core's actions; each overload passes one kind of action to its adapter.
    class Daemon {
    public:
        explicit Daemon(const NodeSettings& node)
            : m_node(node)
            , m_settings(routerSettings(node))
            , m_control(m_settings, makeConfigurationReader(), m_metrics)
            , m_upstreams(m_client, [this](Event event) { m_control.post(std::move(event)); })
            , m_callers(m_control, m_settings.self)
        {
            makeStore();
            if (node.platform != "memory")
                makePeers();
            m_operators = std::make_unique<OperatorApi>(m_control, *m_store, m_metrics, m_peers.get(), [this] { m_control.post(DrainRequested {}); });
        }

        void start()
        {
            m_control.start([this](Action action) { std::visit([this](auto&& it) { execute(std::forward<decltype(it)>(it)); }, std::move(action)); });
            if (m_node.platform == "memory") {
                // An empty instance list: a standalone instance has no peers.
                m_control.post(InstancesListed {});
                applyConfigurationFile();
            } else {
                addPeers();
            }
            m_operatorServer = std::make_unique<HttpServer>(HttpServerSettings { .listen = m_node.operatorListen, .maxBodyBytes = bodyLimitBytes, .maxConnections = 64 },
                [this](const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) { m_operators->serve(request, reply); });
            m_poller = std::make_unique<PlatformPoller>(PollerSettings { m_node.platform == "memory" ? "" : m_node.platform, m_node.listPeriod, m_node.loadPeriod }, m_client, m_control, m_peers.get());
            HttpServerSettings http { .listen = m_node.listen, .maxBodyBytes = bodyLimitBytes, .maxConnections = static_cast<unsigned int>(m_node.maxConnections) };
            http.idleTimeout = std::chrono::duration_cast<Seconds>(m_node.idleTimeout);
            m_callerServer = std::make_unique<HttpServer>(http,
                [this](HttpRequest request, const std::shared_ptr<HttpReply>& reply) { m_callers.serve(std::move(request), reply); });
            logChange(LogLevel::Info, "instance", m_node.instance.value, "listening on " + m_node.listen);
        }

        void drain() { m_control.post(DrainRequested {}); }

        bool drained()
        {
            return ask([](Router& router, TimePoint now, Outbox&) { return router.drained(now); });
        }

        // Ends the requests at work with an error each, and waits until the errors are written.
        void endRequests()
        {
            auto startedAt = std::chrono::steady_clock::now();
            auto elapsed = [&] { return std::chrono::steady_clock::now() - startedAt; };
            Milliseconds nextEnd { 0 };
            bool isAnyLeft = true;
            while (isAnyLeft && elapsed() < maxEndingTime) {
                bool endsNow = elapsed() >= nextEnd;
                if (endsNow)
                    nextEnd += recordingTime;
                isAnyLeft = ask([endsNow](Router& router, TimePoint now, Outbox& out) {
                    if (endsNow)
                        router.endRequests(now, out);
                    return router.requestsInFlight() > 0;
                });
                std::this_thread::sleep_for(drainCheckPeriod);
            }
            std::this_thread::sleep_for(lastResponsesTime);
        }

        void stop()
        {
            m_poller.reset();
            m_callerServer.reset();
            m_operatorServer.reset();
            m_control.stop();
            m_peers.reset();
            logChange(LogLevel::Info, "instance", m_node.instance.value, "stopped");
        }

    private:
        // Runs a question on the control thread and returns its result.
        bool ask(std::function<bool(Router&, TimePoint, Outbox&)> question)
        {
            std::mutex mutex;
            std::condition_variable answered;
            std::optional<bool> result;
            m_control.postTask([&](Router& router, TimePoint now, Outbox& out) {
                std::lock_guard lock(mutex);
                result = question(router, now, out);
                answered.notify_one();
            });
            std::unique_lock lock(mutex);
            answered.wait(lock, [&] { return result.has_value(); });
            return *result;
        }

        void makeStore()
        {
            if (m_node.platform == "memory")
                m_store = std::make_unique<MemoryStore>();
            else
                m_store = std::make_unique<HttpStore>(m_storeClient, m_node.platform);
        }

        void makePeers()
        {
            m_peers = std::make_unique<PeerTransport>(PeerTransportSettings { m_settings.self, m_node.peerListen, m_node.peerSecret },
                [this](PeerEnvelope envelope) { m_control.post(PeerMessageReceived { std::move(envelope) }); });
        }

        void addPeers()
        {
            InstancesListed listed;
            for (const auto& it : m_node.peers) {
                auto equals = it.find('=');
                USAGE_CHECK(equals != std::string::npos) << "peers: found '" << it << "', expected id=ip:port";
                m_peers->setAddress({ it.substr(0, equals) }, it.substr(equals + 1));
                listed.instances.push_back({ it.substr(0, equals), InstanceRole::Entry, "", false });
            }
            if (!listed.instances.empty())
                m_control.post(std::move(listed));
        }

        void applyConfigurationFile()
        {
            if (m_node.configurationFile.empty())
                return;
            auto overlay = m_node.configurationOverlay.empty() ? std::string() : readFile(m_node.configurationOverlay);
            auto parsed = parseConfiguration(readFile(m_node.configurationFile), m_node.configurationFile, overlay, m_node.configurationOverlay);
            std::string all;
            for (const auto& it : parsed.errors)
                all += "\n  " + toString(it);
            USAGE_CHECK(parsed.configuration) << "the configuration is not valid:" << all;
            EditRequested edit;
            edit.document.editId = "start";
            edit.document.author = m_node.instance.value;
            edit.document.text = parsed.text;
            m_control.post(std::move(edit));
        }

        void execute(const SendAttempt& action) { m_upstreams.send(action); }
        void execute(const CancelAttempt& action) { m_upstreams.cancel(action.attempt); }
        void execute(CallerResponse action) { m_callers.execute(std::move(action)); }
        void execute(const CallerStreamStart& action) { m_callers.execute(action); }
        void execute(const CallerStreamData& action) { m_callers.execute(action); }
        void execute(const CallerStreamEnd& action) { m_callers.execute(action); }
        void execute(const StoreCall& action)
        {
            m_store->call(action, [this](StoreReply reply) { m_control.post(std::move(reply)); });
        }
        void execute(const SendPeerMessage& action)
        {
            if (m_peers)
                m_peers->send(action.to, action.envelope);
        }
        void execute(const EditCompleted& action) { m_operators->execute(action); }
        void execute(const StateChanged& action) { logChange(logLevelOf(action), action.what, action.subject, action.detail); }
        void execute(const RateResponse& action)
        {
            if (m_node.ratingAddress.empty()) {
                m_control.post(RatingReceived { action.request, action.attempt, ErrorKind::UpstreamFailed, 0 });
                return;
            }
            nlohmann::json body = { { "request_id", action.request.value }, { "version", action.version.value }, { "task", action.task }, { "answer", action.answer } };
            auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
            HttpCall call { .method = "POST", .address = m_node.ratingAddress, .path = "/v1/ratings", .body = std::make_shared<const std::string>(std::move(text)), .timeout = ratingTimeout };
            m_client.start(std::move(call), { .onEnd = [this, request = action.request, attempt = action.attempt](const HttpResult& result) { onRatingResult(request, attempt, result); } });
        }

        void onRatingResult(const RequestId& request, AttemptId attempt, const HttpResult& result)
        {
            auto rating = parseRating(result);
            std::error_code ec;
            if (!rating)
                ec = ErrorKind::UpstreamFailed;
            m_control.post(RatingReceived { request, attempt, ec, rating.value_or(0) });
        }

        NodeSettings m_node;
        RouterSettings m_settings;
        PrometheusMetrics m_metrics;
        ControlLoop m_control;
        std::unique_ptr<KeyValueStore> m_store;
        std::unique_ptr<PeerTransport> m_peers;
        // Separate from m_client, so that store calls never wait behind streamed responses.
        HttpClient m_storeClient;
        HttpClient m_client;
        HttpUpstreamClient m_upstreams;
        CallerApi m_callers;
        std::unique_ptr<OperatorApi> m_operators;
        std::unique_ptr<PlatformPoller> m_poller;
        std::unique_ptr<HttpServer> m_operatorServer;
        std::unique_ptr<HttpServer> m_callerServer;
    };

    sigset_t handledSignals()
    {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGTERM);
        sigaddset(&set, SIGINT);
        sigaddset(&set, SIGHUP);
        return set;
    }

    // Returns the signal that came within the time, or nullopt.
    std::optional<int> waitForSignal(const sigset_t& set, Milliseconds time)
    {
        timespec wait { time.count() / 1000, time.count() % 1000 * 1000000 };
        auto signal = sigtimedwait(&set, nullptr, &wait);
        return signal > 0 ? std::optional(signal) : std::nullopt;
    }

    std::string signalName(int signal)
    {
        if (signal == SIGHUP)
            return "SIGHUP";
        return signal == SIGINT ? "SIGINT" : "SIGTERM";
    }

    void logSignal(const NodeSettings& node, int signal, bool isStopping)
    {
        logChange(LogLevel::Info, "signal", node.instance.value, signalName(signal) + (isStopping ? " while stopping" : ""));
    }

}

void assignFreePorts(NodeSettings& node)
{
    for (auto* address : { &node.listen, &node.operatorListen, &node.peerListen, &node.entryAddress }) {
        auto hostPort = parseHostPort(*address);
        if (hostPort.port != 0)
            continue;
        // An entry address with port 0 becomes the listening address, whose port is already assigned.
        *address = address == &node.entryAddress ? node.listen : hostPort.host + ":" + std::to_string(reservePort(hostPort.host));
    }
}

int runDaemon(const NodeSettings& node)
{
    // Blocked before any thread starts, so that only this thread receives them, through sigtimedwait().
    auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    startLog(node.logLevel, node.instance.value);
    Daemon daemon(node);
    daemon.start();
    std::cout << "ready callers=" << node.listen << " operators=" << node.operatorListen << " peers=" << node.peerListen << std::endl;
    // A completed drain that an operator requested ends the process too. drain_limit_ms counts only from a signal.
    bool isToldToStop = false;
    while (!isToldToStop && !daemon.drained()) {
        auto signal = waitForSignal(signals, drainCheckPeriod);
        if (signal)
            logSignal(node, *signal, false);
        isToldToStop = signal && *signal != SIGHUP;
    }
    daemon.drain();
    auto limit = std::chrono::steady_clock::now() + node.drainLimit;
    bool drainedInTime = true;
    while (!daemon.drained()) {
        auto signal = waitForSignal(signals, drainCheckPeriod);
        if (signal)
            logSignal(node, *signal, true);
        // Signals come in series and overlap, so a further SIGTERM or a SIGHUP changes nothing.
        bool isCutShort = signal == SIGINT;
        if (isCutShort || std::chrono::steady_clock::now() >= limit) {
            logChange(LogLevel::Error, "instance", node.instance.value, isCutShort ? "stopped by SIGINT before the drain was over" : "the drain took longer than drain_limit_ms");
            daemon.endRequests();
            drainedInTime = false;
            break;
        }
    }
    daemon.stop();
    stopLog();
    return drainedInTime ? 0 : 1;
}

}
