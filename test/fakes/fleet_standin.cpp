#include "fakes/fleet_standin.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/strip.h>

namespace skylarkhitch::standin {

namespace {

    using Json = nlohmann::json;

    Json itemJson(const std::string& key, const std::string& value, std::int64_t revision)
    {
        return { { "key", key }, { "value", absl::Base64Escape(value) }, { "revision", revision }, { "createRevision", revision }, { "lease", 0 } };
    }

    std::string decodePrefix(const std::string& text) { return absl::StrReplaceAll(text, { { "%2f", "/" } }); }

    HeaderFields responseFields(const RawRequest& request)
    {
        return { { "X-Attempt-Id", request.field("X-Attempt-Id") }, { "X-Server-Seal", "seal-of-" + request.field("X-Expect-Instance") }, { "X-Server-Load", "1,0,8" } };
    }

}

FleetStore::FleetStore()
    : m_server([this](const RawRequest& request, RawConnection& connection) { return serve(request, connection, m_fault); })
    , m_secondServer([this](const RawRequest& request, RawConnection& connection) { return serve(request, connection, m_secondFault); })
{
}

std::int64_t FleetStore::put(const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    return write(key, value);
}

void FleetStore::remove(const std::string& key)
{
    std::lock_guard lock(m_mutex);
    write(key, std::nullopt);
}

std::optional<std::string> FleetStore::find(const std::string& key)
{
    std::lock_guard lock(m_mutex);
    auto it = m_items.find(key);
    return it == m_items.end() ? std::nullopt : std::optional(it->second.value);
}

void FleetStore::restore(std::int64_t revision, WatchEnd watchEnd)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_history, [&](const Change& it) { return it.revision > revision; });
    m_items.clear();
    for (const auto& it : m_history) {
        if (it.value)
            m_items[it.key] = { *it.value, it.revision };
        else
            m_items.erase(it.key);
    }
    m_revision = revision;
    ++m_era;
    ++(watchEnd == WatchEnd::Cut ? m_watchCuts : m_watchHangs);
    m_changed.notify_all();
}

void FleetStore::setEraText(std::optional<std::string> line)
{
    std::lock_guard lock(m_mutex);
    m_eraText = std::move(line);
}

std::string FleetStore::eraLine()
{
    std::lock_guard lock(m_mutex);
    return m_eraText.value_or(absl::StrCat("Store-Era: ", m_era.load(), "\r\n"));
}

void FleetStore::compactHistory()
{
    std::lock_guard lock(m_mutex);
    m_compactedRevision = ++m_revision;
    m_changed.notify_all();
}

void FleetStore::cutWatches()
{
    std::lock_guard lock(m_mutex);
    ++m_watchCuts;
    m_changed.notify_all();
}

void FleetStore::setFault(StoreFault fault)
{
    m_fault = fault;
    m_changed.notify_all();
}

void FleetStore::setSecondFault(StoreFault fault)
{
    m_secondFault = fault;
    m_changed.notify_all();
}

std::int64_t FleetStore::write(const std::string& key, std::optional<std::string> value)
{
    ++m_revision;
    if (value)
        m_items[key] = { *value, m_revision };
    else
        m_items.erase(key);
    m_history.push_back({ key, m_revision, std::move(value) });
    m_changed.notify_all();
    return m_revision;
}

bool FleetStore::serve(const RawRequest& request, RawConnection& connection, std::atomic<StoreFault>& fault)
{
    ++m_calls;
    if (fault == StoreFault::Busy)
        return connection.write(responseBytes(503, "{}"));
    if (fault == StoreFault::Silent)
        return !connection.isClosedWithin(std::chrono::seconds(30));
    if (fault == StoreFault::SlowReads && request.path() == "/-/kv-range")
        std::this_thread::sleep_for(slowReadTime);
    if (fault == StoreFault::RateLimitedReads && request.path() == "/-/kv-range" && ++m_reads % 2 == 0)
        return connection.write(responseBytes(429, "{}"));
    if (fault == StoreFault::Conflicts && request.path() == "/-/kv-txn" && ++m_commits % 2 == 1)
        return connection.write(responseBytes(412, R"({"items":[]})"));
    auto bytes = execute(request);
    if (bytes.empty())
        return false;
    bytes.insert(bytes.find("\r\n") + 2, eraLine());
    // The fault may have been set while a watch was pending; it applies to the response as well.
    if (fault == StoreFault::Silent)
        return !connection.isClosedWithin(std::chrono::seconds(30));
    if (fault == StoreFault::DropsResponses && request.method == "POST")
        return false;
    return connection.write(fault == StoreFault::Busy ? responseBytes(503, "{}") : bytes);
}

std::string FleetStore::execute(const RawRequest& request)
{
    auto path = request.path();
    if (path == "/-/kv-range")
        return readRange(decodePrefix(request.query("prefix")), decodePrefix(request.query("after")));
    if (path == "/-/kv-watch")
        return watch(request);
    if (path == "/-/kv-txn")
        return commit(Json::parse(request.body));
    std::lock_guard lock(m_mutex);
    return responseBytes(200, Json { { "lease", ++m_leases }, { "ttlMs", 10000 } }.dump());
}

std::string FleetStore::readRange(const std::string& prefix, const std::string& after)
{
    std::lock_guard lock(m_mutex);
    Json items = Json::array();
    bool hasMore = false;
    std::size_t bytes = 0;
    for (auto it = m_items.upper_bound(after); it != m_items.end() && !hasMore; ++it) {
        if (!absl::StartsWith(it->first, prefix))
            continue;
        hasMore = items.size() == m_pageSize || bytes >= maxPageBytes;
        bytes += it->second.value.size();
        if (!hasMore)
            items.push_back(itemJson(it->first, it->second.value, it->second.revision));
    }
    return responseBytes(200, Json { { "items", items }, { "morePages", hasMore }, { "currentRev", m_revision } }.dump());
}

std::string FleetStore::watch(const RawRequest& request)
{
    auto after = std::stoll(request.query("after"));
    auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(request.query("waitMs")));
    std::unique_lock lock(m_mutex);
    auto cutsBefore = m_watchCuts;
    auto hangsBefore = m_watchHangs;
    for (;;) {
        if (cutsBefore != m_watchCuts)
            return {};
        if (hangsBefore != m_watchHangs) {
            m_changed.wait(lock);
            continue;
        }
        if (after < m_compactedRevision || after > m_revision)
            return responseBytes(410, "{}");
        Json events = Json::array();
        for (const auto& it : m_history) {
            if (it.revision <= after)
                continue;
            if (it.value)
                events.push_back(itemJson(it.key, *it.value, it.revision));
            else
                events.push_back({ { "key", it.key }, { "revision", it.revision }, { "deleted", true } });
        }
        if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout)
            return responseBytes(200, Json { { "events", events }, { "currentRev", m_revision } }.dump());
    }
}

std::string FleetStore::commit(const Json& transaction)
{
    std::lock_guard lock(m_mutex);
    for (const auto& it : transaction.at("expected")) {
        auto item = m_items.find(it.at("key"));
        auto revision = item == m_items.end() ? 0 : item->second.revision;
        if (revision != it.at("revision").get<std::int64_t>())
            return responseBytes(412, R"({"items":[]})");
    }
    for (const auto& it : transaction.at("puts")) {
        std::string value;
        absl::Base64Unescape(it.at("value").get<std::string>(), &value);
        write(it.at("key"), value);
    }
    for (const auto& it : transaction.value("remove", Json::array()))
        write(it, std::nullopt);
    return responseBytes(200, Json { { "revision", m_revision } }.dump());
}

ScriptedUpstream::ScriptedUpstream(std::string id, Script script)
    : m_id(std::move(id))
    , m_script(std::move(script))
    , m_server([this](const RawRequest& request, RawConnection& connection) {
        Script handler;
        {
            std::lock_guard lock(m_mutex);
            m_received.push_back(request);
            handler = m_script;
        }
        return handler(request, connection);
    })
{
}

std::string ScriptedUpstream::registration(const std::string& service, const std::string& state, const std::string& release, std::int64_t born) const
{
    return Json { { "backend", service }, { "address", m_server.address() }, { "zone", "halle-a" }, { "version", release }, { "capacity", 8 }, { "state", state }, { "coldRemainingMs", 0 }, { "seq", 1 }, { "born", born } }.dump();
}

void ScriptedUpstream::setScript(Script script)
{
    std::lock_guard lock(m_mutex);
    m_script = std::move(script);
}

std::vector<RawRequest> ScriptedUpstream::received()
{
    std::lock_guard lock(m_mutex);
    return m_received;
}

std::size_t ScriptedUpstream::count() { return received().size(); }

ScriptedUpstream::Script respondWith(const std::string& body)
{
    return [body](const RawRequest& request, RawConnection& connection) { return connection.write(responseBytes(200, body, responseFields(request))); };
}

ScriptedUpstream::Script streamEvents(int events, std::chrono::milliseconds pause, StreamOptions options)
{
    return [=](const RawRequest& request, RawConnection& connection) {
        auto first = request.field("Last-Event-Id").empty() ? 1 : std::stoi(request.field("Last-Event-Id")) + 1;
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        for (const auto& fields : { responseFields(request), options.fields }) {
            for (const auto& it : fields)
                absl::StrAppend(&head, it.name, ": ", it.value, "\r\n");
        }
        if (!connection.write(absl::StrCat(head, "X-Confidence: ", options.confidence, "\r\n\r\n")))
            return false;
        for (int n = first; n <= events; ++n) {
            if (options.isRunning && !options.isRunning()) {
                connection.reset();
                return false;
            }
            auto event = absl::StrCat("id: ", n, "\ndata: piece ", n, " of ", request.field("X-Model-Name"), "\n\n");
            if (!connection.write(absl::StrCat(absl::Hex(event.size()), "\r\n", event, "\r\n")) || connection.isClosedWithin(pause))
                return false;
        }
        return connection.write("0\r\n\r\n");
    };
}

CrashingEngine::CrashingEngine(FleetStore& store, std::string id, std::string service, std::string fatalPart, std::chrono::milliseconds timeToFirstEvent)
    : m_store(store)
    , m_service(std::move(service))
    , m_fatalPart(std::move(fatalPart))
    , m_timeToFirstEvent(timeToFirstEvent)
    , m_upstream(std::move(id), [this](const RawRequest& request, RawConnection& connection) { return serve(request, connection); })
{
    registerProcess();
}

void CrashingEngine::registerProcess(const std::string& state)
{
    m_store.put("servers/" + m_upstream.id(), m_upstream.registration(m_service, state, "v1", m_born));
}

void CrashingEngine::drain() { registerProcess("draining"); }

void CrashingEngine::restartAfter(std::chrono::milliseconds time)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_isRunning || std::chrono::steady_clock::now() < m_crashes.back() + time)
            return;
        m_isRunning = true;
        ++m_born;
    }
    registerProcess();
}

std::vector<CrashingEngine::TimePoint> CrashingEngine::fatalRequests()
{
    std::lock_guard lock(m_mutex);
    return m_fatalRequests;
}

std::vector<CrashingEngine::TimePoint> CrashingEngine::crashes()
{
    std::lock_guard lock(m_mutex);
    return m_crashes;
}

bool CrashingEngine::serve(const RawRequest& request, RawConnection& connection)
{
    bool isFatal = absl::StrContains(request.field("X-Prefix-Hash"), m_fatalPart);
    std::unique_lock lock(m_mutex);
    auto born = m_born;
    auto isRunning = [&] { return m_isRunning && m_born == born; };
    if (isFatal && m_isRunning)
        m_fatalRequests.push_back(std::chrono::steady_clock::now());
    lock.unlock();
    bool isCancelled = connection.isClosedWithin(m_timeToFirstEvent);
    lock.lock();
    if (isFatal && isRunning() && !isCancelled) {
        m_isRunning = false;
        m_crashes.push_back(std::chrono::steady_clock::now());
    }
    if (isCancelled || !isRunning()) {
        connection.reset();
        return false;
    }
    lock.unlock();
    StreamOptions options { .isRunning = [&] {
        std::lock_guard guard(m_mutex);
        return isRunning();
    } };
    return streamEvents(6, std::chrono::milliseconds(20), options)(request, connection);
}

std::string sampleConfiguration(std::int64_t version, const std::string& key, const CallerTimes& times)
{
    auto route = [](const std::string& name, const std::string& kind, const std::string& service) {
        return Json { { "name", name }, { "hostname", "a.example" }, { "prefix", "/" + name + "/" }, { "routeType", kind }, { "timeoutMs", 3000 }, { "targetLatencyMs", 200 }, { "priority", 1 }, { "backend", service }, { "maxAttempts", 3 }, { "anonymous", false } };
    };
    auto stream = route("draft", "streaming", "assist");
    stream["streamResume"] = true;
    stream["gapAimMs"] = 800;
    stream["sizes"] = { "small", "medium", "large" };
    Json engine { { "capacity", 8 }, { "kvCapacity", 100000 }, { "stride", 1 }, { "models", { { { "name", "small" }, { "cost", 0.02 } }, { { "name", "medium" }, { "cost", 0.15 } }, { { "name", "large" }, { "cost", 0.3 } } } } };
    Json document { { "version", version }, { "routes", { route("status", "idempotent", "orders"), route("booking", "non_idempotent", "orders"), stream } },
        { "backends", { { { "name", "orders" }, { "healthPath", "/healthz" }, { "maxConnections", 100 } }, { { "name", "assist" }, { "healthPath", "/healthz" }, { "maxConnections", 100 }, { "engine", engine } } } },
        { "limits", { { "maxHeaderBytes", 4096 }, { "maxBodyBytes", 100000 }, { "headerTimeoutMs", times.header.count() }, { "idleTimeoutMs", times.idle.count() } } },
        { "tenants", { { { "name", "design" }, { "apiKeys", { key } } } } } };
    return document.dump();
}

}
