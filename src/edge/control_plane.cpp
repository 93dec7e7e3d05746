#include "edge/control_plane.h"

#include "adapters/log.h"
#include "core/membership/store_revision.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    // Delay after each watch response, as a part of the time that the platform gives for changes. Every heartbeat of an upstream
    // changes a key and every response is billed, so the delay collects changes into fewer responses. The rest of the time is for
    // the instances that get the changes from a peer.
    constexpr double watchPausePart = 0.35;
    // How long this instance stays behind a peer before it fetches the peer's changes, if it watches the store and the store is
    // reachable; otherwise it fetches them at once. A working watch delivers them sooner.
    constexpr Milliseconds catchUpDelay { 450 };
    constexpr Milliseconds catchUpTimeout { 800 };
    // A process that was not active for this long was paused: it gets a report of the traffic thread four times a second.
    constexpr Milliseconds minPause { 1000 };
    // Time in which the heartbeats that arrived during a pause are read.
    constexpr Milliseconds queuedHeartbeatsTime { 100 };
    // Lease duration of this instance's entry in the store, and how often the lease is renewed. The renewal also checks that the
    // store is reachable, at a tenth of the price of other calls.
    constexpr Milliseconds registrationLease { 30000 };
    constexpr Milliseconds leaseRenewalPeriod { 1000 };
    // The same for an instance that does not follow the store. In a large site its hubs tell whether the store is reachable.
    constexpr Milliseconds idleLeaseRenewalPeriod { 2500 };
    constexpr Milliseconds largeSiteLeaseRenewalPeriod { 10000 };
    // An outage that is seen again after this long is another one.
    constexpr Milliseconds outageLogPause { 3000 };
    // Number of peer addresses in each heartbeat. A new instance learns of all peers within a few heartbeats.
    constexpr std::size_t maxKnownPeers = 4;
    constexpr std::size_t maxDatagramBytes = std::size_t { 64 } * 1024;
    // Limits of a peer's changes. The memory of an instance may be less than 100 MB.
    constexpr std::size_t maxMirrorBytes = std::size_t { 8 } << 20;
    constexpr Milliseconds maxMirrorTime { 5000 };
    constexpr const char* mirrorPath = "/mirror?after=";
    constexpr const char* configurationPath = "/configuration";

    bool hasValidAddresses(const FleetHeartbeat& heartbeat)
    {
        bool areOwnValid = isEndpoint(heartbeat.addresses.entry) && isEndpoint(heartbeat.addresses.peers) && std::all_of(heartbeat.known.begin(), heartbeat.known.end(), isEndpoint);
        auto isValid = [](const InstanceIdentity& it) { return isEndpoint(it.entryAddress) && isEndpoint(it.peerAddress); };
        return areOwnValid && (!heartbeat.digest || std::all_of(heartbeat.digest->identities.begin(), heartbeat.digest->identities.end(), isValid));
    }

    // Peers and operators send no bodies.
    constexpr std::size_t maxInternalBodyBytes = std::size_t { 64 } * 1024;
    // Part of the memory for callers (1/n) that connections of peers and operators may take beside it.
    constexpr std::size_t internalMemoryDivisor = 16;

    std::shared_ptr<ServerState> makeInternalServerState(const EdgeSettings& settings, RequestHandler handler)
    {
        auto state = std::make_shared<ServerState>();
        state->handler = std::move(handler);
        state->limits = [] { return CallerLimits { .maxBodyBytes = maxInternalBodyBytes }; };
        state->memory = std::make_shared<InstanceMemory>(InstanceMemory::budgetFor(settings.memoryLimitBytes()) / internalMemoryDivisor);
        state->descriptors = DescriptorBudget::forPlatform(static_cast<std::int64_t>(settings.descriptorLimit));
        return state;
    }

}

ControlPlane::ControlPlane(EventLoop& loop, const EdgeSettings& settings, Incarnation self, EdgeMetrics& metrics, Outputs outputs)
    : m_loop(loop)
    , m_settings(settings)
    , m_self(std::move(self))
    , m_metrics(metrics)
    , m_process(metrics, { settings.memoryLimitBytes(), static_cast<std::int64_t>(settings.descriptorLimit) })
    , m_outputs(std::move(outputs))
    , m_store(loop, settings.store, metrics)
    , m_mirror(contained(&ControlPlane::itemChanged), { platform::isRenewal, contained(&ControlPlane::itemRenewed) })
    , m_rollouts(loop, m_store, [this] { m_viewChanged = true; })
    , m_quarantines(loop, m_store, metrics, [this](QuarantinedParts parts) { m_outputs.publishPeerNews({ { .quarantined = { std::move(parts) } }, {}, {} }); })
    , m_fleet(m_self, settings.domain, settings.peerListen, settings.capacity())
    , m_linkLoad(settings.linkMbps)
    , m_heartbeatSocket(loop, udpEndpoint(settings.peerListen))
    , m_random(m_self.number)
{
    m_heartbeatSocket.non_blocking(true);
    addSeeds(settings.seeds);
}

void ControlPlane::start()
{
    m_peerListener = std::make_unique<HttpListener>(m_loop, m_settings.peerListen, makeInternalServerState(m_settings, [this](std::shared_ptr<CallerConnection> connection, ReceivedRequest request) { return servePeer(std::move(connection), std::move(request)); }));
    m_metricsListener = std::make_unique<HttpListener>(m_loop, m_settings.metricsListen, makeInternalServerState(m_settings, [this](std::shared_ptr<CallerConnection> connection, ReceivedRequest request) { return serveMetrics(std::move(connection), std::move(request)); }));
    spawnRestarting(
        m_loop, [this] { return receiveHeartbeats(); }, "receive_heartbeats");
    spawnRestarting(
        m_loop, [this] { return followStore(); }, "follow_store");
    spawnRestarting(
        m_loop, [this] { return maintainRegistration(); }, "maintain_registration");
}

void ControlPlane::addSeeds(const std::vector<std::string>& seeds)
{
    for (const auto& it : seeds) {
        auto address = m_settings.seedPort == 0 ? it : absl::StrCat(it.substr(0, it.rfind(':')), ":", m_settings.seedPort);
        if (isEndpoint(address))
            m_fleet.addSeedAddress(address);
        else
            LogLine(LogLevel::Error, "seed_unreadable").with("seed", it);
    }
}

Awaitable<void> ControlPlane::followStore()
{
    bool needsFullRead = true;
    std::size_t failures = 0;
    for (;;) {
        // Other instances of the domain watch the store. Their heartbeats show when they are ahead, and catchUpIfBehind() fetches the
        // changes.
        if (!needsFullRead && !m_fleet.shouldFollowStore(bootNow())) {
            co_await sleepFor(m_loop, FleetMembership::heartbeatPeriod);
            continue;
        }
        StoreClient::StoreUpdateResult result;
        if (needsFullRead)
            result = co_await m_store.readAll();
        else
            result = co_await m_store.watch(m_mirror.revision());
        bool isOk = result.update.has_value();
        if (isOk) {
            applyUpdate(*std::exchange(result.update, {}));
            needsFullRead = false;
        } else if (result.status == 410 || result.isUnreadable) {
            // The same watch would get the same answer again, so everything is read at once; there is a pause after that.
            LogLine(LogLevel::Warning, "store_history_lost").with("revision", m_mirror.revision());
            needsFullRead = true;
            continue;
        }
        // The first copy is what requests wait for.
        failures = isOk || m_mirror.revision() == 0 ? 0 : failures + 1;
        co_await sleepFor(m_loop, isOk ? watchPause() : StoreFollowing::retryDelay(failures, std::uniform_real_distribution<double>(0, 1)(m_random)));
    }
}

Milliseconds ControlPlane::watchPause() const
{
    auto limit = std::min({ m_settings.configurationLimit(), m_settings.drainLimit(), m_settings.evacuationLimit() });
    return Milliseconds(static_cast<std::int64_t>(watchPausePart * static_cast<double>(limit.count())));
}

Milliseconds ControlPlane::leaseRenewalTime(bool isRegistered)
{
    if (!isRegistered || m_fleet.shouldFollowStore(bootNow()))
        return leaseRenewalPeriod;
    return m_fleet.isFullMesh() ? idleLeaseRenewalPeriod : largeSiteLeaseRenewalPeriod;
}

bool ControlPlane::reachesStore(TimePoint now) const
{
    return m_store.isReachable() && now - m_store.lastResponseAt() <= FleetMembership::maxStoreSilence;
}

Awaitable<void> ControlPlane::maintainRegistration()
{
    std::int64_t lease = 0;
    std::int64_t leaseEra = 0;
    bool isRegistered = false;
    for (;;) {
        if (lease != 0) {
            auto renewed = co_await m_store.call(platform::renewLeaseRequest(lease), "renew");
            // Without a response the lease may still be valid; the next renewal shows it.
            if (renewed.status == 404)
                lease = 0;
        }
        // An older copy of the store lacks the lease and the entry, and may have given the number of the lease to another instance.
        if (lease != 0 && m_store.era() != leaseEra) {
            LogLine(LogLevel::Info, "lease_lost").with("lease", lease).with("era", leaseEra).with("store_era", m_store.era());
            lease = 0;
        }
        if (lease == 0) {
            auto granted = co_await m_store.call(platform::grantLeaseRequest(registrationLease), "lease");
            lease = granted.isOk() ? platform::decodeLease(granted.body).value_or(0) : 0;
            leaseEra = granted.era;
            isRegistered = false;
            if (lease == 0)
                LogLine(LogLevel::Warning, "lease_not_granted").with("status", granted.status);
        }
        if (lease != 0 && !isRegistered)
            isRegistered = co_await writeRegistration(lease);
        co_await sleepFor(m_loop, leaseRenewalTime(isRegistered));
    }
}

// Returns false if the store rejected the write or did not respond. The caller then writes the entry again.
Awaitable<bool> ControlPlane::writeRegistration(std::int64_t lease)
{
    // Built before the call: g++ 12 destroys an aggregate inside a co_await expression twice.
    ListedPeer self { m_settings.peerListen, m_settings.domain };
    auto request = platform::transactionRequest(platform::instanceTransaction(m_self.instance, self, lease));
    auto listed = co_await m_store.call(std::move(request), "list");
    if (!listed.isOk())
        LogLine(LogLevel::Warning, "not_listed").with("status", listed.status);
    co_return listed.isOk();
}

StoreMirror::Observer ControlPlane::contained(ItemHandler handler)
{
    return [this, handler](const std::string& key, const StoreMirror::Item* item) {
        try {
            (this->*handler)(key, item);
        } catch (const std::exception& e) {
            LogLine(LogLevel::Error, "item_failed").with("key", key).with("error", e.what());
        }
    };
}

void ControlPlane::itemChanged(const std::string& key, const StoreMirror::Item* item)
{
    auto document = platform::decodeDocumentKey(key);
    switch (document.kind) {
    case platform::DocumentKind::Configuration:
        if (item)
            takeConfiguration(item->value, absl::StrCat("revision ", storeRevision(item->revision)));
        return;
    case platform::DocumentKind::Upstream:
        return upstreamChanged(document.name, item);
    case platform::DocumentKind::RolloutOrder:
        if (!item)
            return m_rollouts.orderRemoved({ document.name }, m_isReadingCopy);
        return m_rollouts.orderChanged({ document.name }, *item, m_mirror.revision() > 0);
    case platform::DocumentKind::RolloutRecord:
        return m_rollouts.recordChanged({ document.name }, item);
    case platform::DocumentKind::Evacuation:
        return evacuationChanged({ document.name }, item);
    case platform::DocumentKind::Instance:
        return instanceChanged(key, item);
    case platform::DocumentKind::Quarantine:
        return m_quarantines.recordChanged(document.name, item);
    case platform::DocumentKind::Other:
        return;
    }
}

void ControlPlane::itemRenewed(const std::string& key, const StoreMirror::Item* item)
{
    UpstreamId id { platform::decodeDocumentKey(key).name };
    if (!m_upstreams.renewed(id, platform::decodeWrites(item->value), item->revision, bootNow()))
        itemChanged(key, item);
}

void ControlPlane::takeConfiguration(const std::string& text, const std::string& source)
{
    platform::DecodeError error;
    auto configuration = platform::decodeConfiguration(text, error);
    if (!configuration) {
        LogLine(LogLevel::Error, "configuration_unreadable").with("source", source).with("error", error.message);
        return;
    }
    // The version never decreases during the lifetime of the process, whatever the store or a peer sends.
    if (m_configuration && configuration->version <= m_configuration->version)
        return;
    LogLine(LogLevel::Info, "configuration").with("version", configuration->version).with("source", source).with("routes", static_cast<std::int64_t>(configuration->routes.size()));
    m_configuration = std::make_shared<const RoutingConfiguration>(*std::move(configuration));
    m_configurationText = text;
    m_viewChanged = true;
}

void ControlPlane::upstreamChanged(const std::string& id, const StoreMirror::Item* item)
{
    auto now = bootNow();
    if (!item) {
        auto goneFrom = missingMeansGoneFrom(now);
        LogLine(LogLevel::Info, "upstream_removed").with("upstream", id).with("kept_for_return", now < goneFrom ? "yes" : "no").with("kept_ms", std::max(toMilliseconds(goneFrom - now), Milliseconds(0)).count());
        m_upstreams.removed({ id }, goneFrom, now);
        m_viewChanged = true;
        return;
    }
    platform::DecodeError error;
    auto registered = platform::decodeUpstream(id, item->value, error);
    if (!registered) {
        LogLine(LogLevel::Warning, "upstream_unreadable").with("upstream", id).with("error", error.message);
        return;
    }
    auto& entry = registered->entry;
    if (registered->coldFor > Milliseconds(0))
        entry.coldUntil = now + registered->coldFor;
    auto change = m_upstreams.registered(entry, { entry.born, registered->writes, item->revision }, now);
    if (change == UpstreamRegistry::Change::None)
        return;
    LogLine(LogLevel::Info, change == UpstreamRegistry::Change::HeldBack ? "upstream_held_back" : "upstream").with("upstream", id).with("service", entry.service.value).with("address", entry.address).with("release", entry.release).with("takes_work", entry.takesWork ? "yes" : "no").with("born", entry.born).with("cold_ms", registered->coldFor.count());
    m_viewChanged = true;
}

void ControlPlane::instanceChanged(const std::string& key, const StoreMirror::Item* item)
{
    platform::DecodeError error;
    auto peer = item ? platform::decodeInstance(item->value, error) : std::nullopt;
    if (item && !peer)
        LogLine(LogLevel::Warning, "instance_unreadable").with("key", key).with("error", error.message);
    m_listed.set(key, std::move(peer));
}

void ControlPlane::evacuationChanged(const DomainId& domain, const StoreMirror::Item* item)
{
    auto now = bootNow();
    auto change = item ? m_evacuations.ordered(domain, item->revision, now) : m_evacuations.removed(domain, m_isReadingCopy, now);
    announceEvacuation(domain, change, item ? absl::StrCat("revision ", storeRevision(item->revision)) : "store");
}

void ControlPlane::announceEvacuation(const DomainId& domain, DomainEvacuations::Change change, const std::string& source)
{
    using Change = DomainEvacuations::Change;
    if (change == Change::None)
        return;
    constexpr const char* names[] = { "", "domain_evacuated", "evacuation_repeated", "evacuation_kept", "evacuation_outdated", "domain_returned" };
    auto usable = m_upstreams.usable();
    auto isInDomain = [&](const UpstreamEntry& it) { return it.domain == domain; };
    auto isElsewhere = [&](const UpstreamEntry& it) { return !m_evacuations.availability().isEvacuated(it.domain); };
    LogLine(LogLevel::Warning, names[static_cast<int>(change)]).with("domain", domain.value).with("source", source).with("upstreams", static_cast<std::int64_t>(std::count_if(usable.begin(), usable.end(), isInDomain))).with("usable", static_cast<std::int64_t>(std::count_if(usable.begin(), usable.end(), isElsewhere)));
    m_viewChanged = m_viewChanged || change == Change::Evacuated || change == Change::Returned;
}

Awaitable<void> ControlPlane::receiveHeartbeats()
{
    std::string buf(maxDatagramBytes, '\0');
    for (;;) {
        asio::ip::udp::endpoint from;
        boost::system::error_code ec;
        auto n = co_await m_heartbeatSocket.async_receive_from(asio::buffer(buf), from, asio::redirect_error(asio::use_awaitable, ec));
        // A datagram to a peer that is down can cause an error here (connection refused). It does not affect later datagrams.
        if (!ec)
            handleHeartbeat(buf.substr(0, n));
    }
}

void ControlPlane::handleHeartbeat(const std::string& bytes)
{
    auto heartbeat = decodeHeartbeat(bytes);
    if (!heartbeat || !hasValidAddresses(*heartbeat)) {
        LogLine(LogLevel::Warning, "heartbeat_malformed").with("bytes", static_cast<std::int64_t>(bytes.size()));
        return;
    }
    m_metrics.heartbeat("received");
    auto now = bootNow();
    noticePause(now);
    // Heartbeats that arrived during a pause are read after it, and the ages that they state have passed by then.
    if (mayReadQueuedHeartbeats(now))
        heartbeat->sinceStoreUnreachable.reset();
    if (!m_fleet.onHeartbeat(*heartbeat, now))
        return;
    if (m_fleet.isStoreServing(now))
        m_isolatedAt.reset();
    m_rollouts.learn(heartbeat->rollouts);
    for (const auto& it : heartbeat->heldBack) {
        if (!m_upstreams.learn(it, now))
            continue;
        LogLine(LogLevel::Info, "upstream_held_back").with("upstream", it.id.value).with("born", it.last.born).with("peer", heartbeat->from.instance.value);
        m_viewChanged = true;
    }
    for (const auto& it : heartbeat->evacuations) {
        auto change = m_evacuations.learn(it, now);
        announceEvacuation(it.domain, change, absl::StrCat("peer ", heartbeat->from.instance.value));
        if (change == DomainEvacuations::Change::Evacuated)
            publish(now);
    }
    PeerNews news { std::move(heartbeat->promptParts), std::move(heartbeat->limits), std::move(heartbeat->promptHoldings) };
    if (!news.empty())
        m_outputs.publishPeerNews(std::move(news));
    if (heartbeat->storeRevision > m_mirror.revision())
        catchUpIfBehind(now);
    if (heartbeat->configurationVersion > (m_configuration ? m_configuration->version : 0))
        fetchLaterConfiguration(now);
}

// Fetches changes from a peer that is ahead if the store does not deliver them.
void ControlPlane::catchUpIfBehind(TimePoint now)
{
    const auto* peer = m_fleet.peerAheadOf(m_mirror.revision(), now);
    if (!peer) {
        m_behindSince.reset();
        return;
    }
    m_behindSince = m_behindSince.value_or(now);
    // Waits for the store only if it is reachable and this instance watches it.
    bool storeMayDeliver = m_store.isReachable() && m_fleet.shouldFollowStore(now) && now - *m_behindSince < catchUpDelay;
    if (m_catchingUp || storeMayDeliver)
        return;
    m_catchingUp = true;
    spawn(m_loop, catchUpFromPeer(peer->heartbeat.addresses.peers, peer->heartbeat.from.instance.value), "catch_up");
}

Awaitable<std::optional<std::string>> ControlPlane::fetchFromPeer(std::string peerAddress, std::string target)
{
    auto connection = std::make_shared<UpstreamConnection>(m_loop);
    std::optional<std::string> result;
    // The flags of the callers would stay set if an exception left them.
    try {
        if (co_await connection->open(peerAddress, catchUpTimeout)) {
            connection->setDeadline(catchUpTimeout);
            auto head = absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: ", peerAddress, "\r\nAccept-Encoding: ", PeerDocuments::encoding, "\r\nConnection: close\r\n\r\n");
            ResponseHead response;
            bool isSent = co_await connection->send(head, nullptr);
            if (isSent && co_await connection->readHead(response) == TransferEnd::Ok && response.status == 200) {
                BodyTimes times { catchUpTimeout, maxMirrorTime };
                auto body = co_await connection->readWholeBody(maxMirrorBytes, times);
                if (body.end == TransferEnd::Ok)
                    result = PeerDocuments::decode(response.fields, std::move(body.bytes), maxMirrorBytes);
            }
        }
    } catch (const std::exception& e) {
        LogLine(LogLevel::Error, "task_failed").with("task", "fetch_from_peer").with("error", e.what());
    }
    connection->close();
    co_return result;
}

Awaitable<void> ControlPlane::catchUpFromPeer(std::string peerAddress, std::string name)
{
    auto body = co_await fetchFromPeer(peerAddress, absl::StrCat(mirrorPath, m_mirror.revision()));
    auto update = body ? decodeUpdate(*body) : std::nullopt;
    m_catchingUp = false;
    LogLine(update ? LogLevel::Info : LogLevel::Warning, "peer_catch_up").with("peer", name).with("from", m_mirror.revision()).with("to", update ? update->revision : 0);
    if (update)
        applyUpdate(*update);
}

// Fetches the configuration of a peer that has a later one than the store does.
void ControlPlane::fetchLaterConfiguration(TimePoint now)
{
    // A copy of the store that is behind may lack the configuration; catching up delivers it.
    if (m_fetchingConfiguration || m_mirror.revision() == 0 || m_fleet.peerAheadOf(m_mirror.revision(), now))
        return;
    const auto* peer = m_fleet.peerWithLaterConfiguration(m_configuration ? m_configuration->version : 0, now);
    if (!peer)
        return;
    m_fetchingConfiguration = true;
    spawn(m_loop, takeConfigurationFromPeer(peer->heartbeat.addresses.peers, peer->heartbeat.from.instance.value), "take_configuration");
}

Awaitable<void> ControlPlane::takeConfigurationFromPeer(std::string peerAddress, std::string name)
{
    auto text = co_await fetchFromPeer(peerAddress, configurationPath);
    m_fetchingConfiguration = false;
    if (!text) {
        LogLine(LogLevel::Warning, "peer_configuration_not_delivered").with("peer", name);
        co_return;
    }
    takeConfiguration(*text, absl::StrCat("peer ", name));
    publish(bootNow());
}

void ControlPlane::applyUpdate(const MirrorUpdate& update)
{
    absl::Cleanup ended = [this] { m_isReadingCopy = false; };
    m_isReadingCopy = m_mirror.revision() > 0 && eraOf(update.revision) > eraOf(m_mirror.revision());
    if (m_isReadingCopy) {
        bool isFirst = !m_fleet.peerAheadOf(revisionInEra(0, eraOf(update.revision)), bootNow());
        m_outage.restart(bootNow());
        LogLine(LogLevel::Warning, "store_restored").with("era", eraOf(update.revision)).with("revision", storeRevision(update.revision)).with("seen_before", isFirst ? "no" : "yes");
        // Entries that are missing from the copy are written again, as after an outage. Peers that saw the return before tell when.
        if (isFirst)
            m_storeUnreachableAt = bootNow();
    }
    m_mirror.applyUpdate(update);
    std::move(ended).Invoke();
    if (m_listed.takeChanged())
        m_fleet.setListedPeers(m_listed.peers());
    m_viewChanged = m_quarantines.updateRequests(bootNow()) || m_viewChanged;
    publish(bootNow());
}

Awaitable<void> ControlPlane::servePeer(std::shared_ptr<CallerConnection> connection, ReceivedRequest request)
{
    std::int64_t after = 0;
    constexpr std::string_view prefix = mirrorPath;
    bool isMirror = request.target.rfind(prefix, 0) == 0 && absl::SimpleAtoi(request.target.substr(prefix.size()), &after);
    EdgeResponse response { .status = 404 };
    if (isMirror && m_mirror.revision() > 0)
        response = peerResponse(request, m_changes, m_mirror.revision(), [&] { return encodeUpdate(m_mirror.changesSince(after)); });
    else if (request.target == configurationPath && m_configuration)
        response = peerResponse(request, m_configurations, m_configuration->version, [&] { return m_configurationText; });
    co_await connection->respond(std::move(response));
}

EdgeResponse ControlPlane::peerResponse(const ReceivedRequest& request, PeerDocuments& documents, std::int64_t version, const std::function<std::string()>& make)
{
    EdgeResponse response { .status = 200 };
    if (PeerDocuments::mayCompress(request.fields)) {
        response.fields.push_back({ "Content-Encoding", PeerDocuments::encoding });
        response.body = documents.compressed(request.target, version, make);
    } else
        response.body = make();
    auto bytes = static_cast<std::int64_t>(response.body.size());
    LogLine(LogLevel::Info, "passed_on").with("target", request.target).with("version", version).with("bytes", bytes);
    m_metrics.passedOn(bytes);
    m_linkLoad.sent(response.body.size(), bootNow());
    m_outputs.publishLinkFull(m_linkLoad.fullUntil());
    return response;
}

Awaitable<void> ControlPlane::serveMetrics(std::shared_ptr<CallerConnection> connection, ReceivedRequest)
{
    m_process.publish();
    m_metrics.setState("store_revision", static_cast<double>(m_mirror.revision()));
    m_metrics.setState("configuration_version", m_configuration ? static_cast<double>(m_configuration->version) : 0);
    m_metrics.setState("live_peers", static_cast<double>(m_fleet.livePeers(bootNow()).size()));
    m_metrics.setState("upstreams", static_cast<double>(m_upstreams.size()));
    m_metrics.setState("evacuated_domains", static_cast<double>(m_evacuations.availability().evacuated.size()));
    m_metrics.setState("links_lost", m_trafficReport.areLinksLost ? 1 : 0);
    m_metrics.setState("quarantined_parts", static_cast<double>(m_trafficReport.quarantinedParts.size()));
    m_quarantines.publishMetrics();
    m_metrics.setState("limited_upstreams", static_cast<double>(m_trafficReport.limitedUpstreams));
    EdgeResponse response { .fields = { { "Content-Type", "text/plain; version=0.0.4" } }, .body = m_metrics.text() };
    co_await connection->respond(std::move(response));
}

bool ControlPlane::mayReadQueuedHeartbeats(TimePoint now) const { return now - m_resumedAt < queuedHeartbeatsTime; }

void ControlPlane::noticePause(TimePoint now)
{
    if (m_lastActiveAt != TimePoint {} && now - m_lastActiveAt > minPause) {
        m_resumedAt = now;
        m_outage.restart(now);
        LogLine(LogLevel::Warning, "resumed").with("paused_ms", toMilliseconds(now - m_lastActiveAt).count());
    }
    m_lastActiveAt = now;
}

void ControlPlane::handleTrafficReport(TrafficReport report)
{
    auto now = bootNow();
    noticePause(now);
    m_viewChanged = m_viewChanged || report.ready != m_trafficReport.ready;
    m_trafficReport = std::move(report);
    m_process.update(m_trafficReport.cpuTime, m_trafficReport.callerConnections, now);
    updateStoreState(now);
    sendHeartbeat(m_trafficReport.isUrgent, now);
    m_quarantines.setParts(m_trafficReport.quarantinedParts, now);
    m_quarantines.learnCrashes(m_self, m_trafficReport.crashes, now);
    for (const auto& [process, crashes] : m_fleet.crashesByProcess(now))
        m_quarantines.learnCrashes(process, crashes, now);
    keepQuarantines(now);
    catchUpIfBehind(now);
    if (m_upstreams.removeExpired(missingMeansGoneFrom(now), now))
        m_viewChanged = true;
    for (const auto& it : m_evacuations.expire(now))
        announceEvacuation(it, DomainEvacuations::Change::Returned, "not_repeated");
    m_rollouts.advance({ m_fleet.siteEvidence(m_trafficReport.evidence, now), isCoordinator(now), [this](const RolloutOrder& order) { return oldReleaseIsIdle(order); } }, now);
    FleetState fleet { m_fleet.size(now), m_fleet.passesOnNews(), entries(now) };
    m_viewChanged = m_viewChanged || fleet != m_lastFleet;
    m_lastFleet = std::move(fleet);
    m_outputs.publishPeerUpdate(peerUpdate(now));
    publish(now);
}

void ControlPlane::keepQuarantines(TimePoint now)
{
    m_quarantines.advance(isCoordinator(now), now);
    m_viewChanged = m_quarantines.updateRequests(now) || m_viewChanged;
}

void ControlPlane::leave()
{
    m_leaving = true;
    m_trafficReport.ready = false;
    m_viewChanged = true;
    sendHeartbeat(true, bootNow());
    publish(bootNow());
}

void ControlPlane::sendHeartbeat(bool isUrgent, TimePoint now)
{
    FleetHeartbeat heartbeat;
    heartbeat.from = m_self;
    heartbeat.domain = m_settings.domain;
    heartbeat.addresses = { m_settings.entryListen, m_settings.peerListen };
    heartbeat.sequence = ++m_sequence;
    heartbeat.ready = m_trafficReport.ready && !m_leaving;
    heartbeat.leaving = m_leaving;
    heartbeat.reachesUpstreams = !m_trafficReport.areLinksLost;
    heartbeat.storeRevision = m_mirror.newsRevision();
    heartbeat.storeReachable = reachesStore(now);
    // Hubs tell how old their copy is, wherever it comes from, so that nobody takes their place while they have it from each other.
    auto storeTime = m_fleet.isHub() ? upToDateAt(now) : m_store.lastResponseAt();
    if (storeTime != TimePoint {})
        heartbeat.storeAge = toMilliseconds(now - storeTime);
    if (auto outage = lastOutageAt(now))
        heartbeat.sinceStoreUnreachable = toMilliseconds(now - *outage);
    heartbeat.work = m_trafficReport.work;
    for (const auto& [key, it] : m_trafficReport.evidence) {
        if (m_rollouts.isRollingOut(key.service))
            heartbeat.evidence[key] = it;
    }
    heartbeat.crashes = m_trafficReport.crashes;
    heartbeat.promptParts = m_trafficReport.news.promptParts;
    heartbeat.limits = m_trafficReport.news.limits;
    heartbeat.promptHoldings = m_trafficReport.news.promptHoldings;
    heartbeat.sessions = m_trafficReport.sessions;
    heartbeat.configurationVersion = m_configuration ? m_configuration->version : 0;
    heartbeat.rollouts = m_rollouts.news();
    heartbeat.heldBack = m_upstreams.heldBack();
    heartbeat.evacuations = m_evacuations.kept(now);
    heartbeat.readsDigests = true;
    heartbeat.capacity = m_settings.capacity();
    auto livePeers = m_fleet.livePeers(now);
    for (std::size_t n = 0; n < std::min(livePeers.size(), maxKnownPeers); ++n)
        heartbeat.known.push_back(livePeers[m_nextKnownPeer++ % livePeers.size()]->heartbeat.addresses.peers);
    m_fleet.sent(heartbeat);
    if (isUrgent) {
        sendTo(m_fleet.urgentReceivers(now), heartbeat);
        return;
    }
    sendTo(m_fleet.nextReceivers(now), heartbeat);
    sendToHubs(std::move(heartbeat), now);
}

void ControlPlane::sendToHubs(FleetHeartbeat heartbeat, TimePoint now)
{
    auto targets = m_fleet.nextTargets(now);
    using Scope = FleetMembership::DigestScope;
    auto sendDigest = [&](const std::vector<std::string>& receivers, Scope scope) {
        if (receivers.empty())
            return;
        heartbeat.digest = m_fleet.digest(heartbeat, scope, now);
        sendTo(receivers, heartbeat);
        heartbeat.digest.reset();
    };
    sendDigest(targets.members, Scope::WholeSite);
    sendDigest(targets.newMembers, Scope::WholeSiteForNewMembers);
    sendDigest(targets.otherSubscribers, Scope::OwnDomain);
    heartbeat.asksForDigest = true;
    sendDigest(targets.otherHubs, Scope::OwnDomain);
    sendTo(targets.hubs, heartbeat);
}

void ControlPlane::sendTo(const std::vector<std::string>& receivers, const FleetHeartbeat& heartbeat)
{
    if (receivers.empty())
        return;
    auto bytes = encodeHeartbeat(heartbeat);
    for (const auto& it : receivers) {
        boost::system::error_code ec;
        m_heartbeatSocket.send_to(asio::buffer(bytes), udpEndpoint(it), 0, ec);
        // A heartbeat that cannot be sent counts as lost on the network; the next one carries the same state.
        m_metrics.heartbeat(ec ? "not_sent" : "sent");
    }
}

void ControlPlane::updateStoreState(TimePoint now)
{
    bool isServing = reachesStore(now) || m_fleet.isStoreServing(now) || m_mirror.revision() == 0 || mayReadQueuedHeartbeats(now);
    // An instance that hears few peers cannot tell an outage of the store from its own isolation. It protects its own entries until
    // a peer tells it more, but claims no outage to others.
    bool mayClaim = m_outage.mayClaim(m_fleet.hearsMostPeers(now), now) || m_fleet.peers().empty();
    if (!m_outage.update(isServing, now))
        return;
    auto& outageAt = mayClaim ? m_storeUnreachableAt : m_isolatedAt;
    if (!outageAt || now - *outageAt > outageLogPause)
        LogLine(LogLevel::Warning, mayClaim ? "store_outage_claimed" : "store_outage_suspected").with("live_peers", static_cast<std::int64_t>(m_fleet.livePeers(now).size())).with("known_peers", static_cast<std::int64_t>(m_fleet.peers().size()));
    outageAt = now;
}

std::optional<TimePoint> ControlPlane::lastOutageAt(TimePoint now) const
{
    auto last = m_storeUnreachableAt;
    for (const auto* it : m_fleet.livePeers(now)) {
        if (!it->heartbeat.sinceStoreUnreachable)
            continue;
        auto at = it->lastHeardAt - *it->heartbeat.sinceStoreUnreachable;
        if (!m_outage.refutes(at))
            last = std::max(last, std::optional(at));
    }
    return last;
}

TimePoint ControlPlane::missingMeansGoneFrom(TimePoint now) const
{
    auto outage = std::max(lastOutageAt(now), m_isolatedAt);
    // A new registration may have to wait for the next watch.
    return outage ? *outage + UpstreamRegistry::reregistrationTime + watchPause() : TimePoint {};
}

// The coordinator is the live instance with the smallest id among those that reach the store and are not shutting down. If two
// instances both consider themselves the coordinator, the condition of the write prevents conflicts.
bool ControlPlane::isCoordinator(TimePoint now) const
{
    if (m_leaving || !reachesStore(now))
        return false;
    for (const auto* it : m_fleet.livePeers(now)) {
        if (it->heartbeat.storeReachable && !it->heartbeat.leaving && it->heartbeat.from.instance < m_self.instance)
            return false;
    }
    return true;
}

bool ControlPlane::oldReleaseIsIdle(const RolloutOrder& order) const
{
    auto isOld = [&](const UpstreamId& id) {
        const auto* entry = m_upstreams.find(id);
        return entry && entry->service == order.service && entry->release != order.target;
    };
    for (const auto& [id, work] : m_trafficReport.work) {
        if (work.requests > 0 && isOld(id))
            return false;
    }
    for (const auto& [id, work] : m_fleet.peerWork(bootNow())) {
        if (work.requests > 0 && isOld(id))
            return false;
    }
    return true;
}

PeerUpdate ControlPlane::peerUpdate(TimePoint now) const
{
    PeerUpdate peerUpdate;
    auto work = m_fleet.peerWork(now);
    peerUpdate.work = { work.begin(), work.end() };
    peerUpdate.crashes = m_fleet.crashesByProcess(now);
    for (const auto* peer : m_fleet.livePeers(now)) {
        for (auto it : peer->heartbeat.sessions) {
            it.age += toMilliseconds(now - peer->lastHeardAt);
            peerUpdate.sessions.push_back(it);
        }
    }
    return peerUpdate;
}

std::vector<EntryInstance> ControlPlane::entries(TimePoint now) const
{
    std::vector<EntryInstance> entries;
    if (m_trafficReport.ready && !m_leaving)
        entries.push_back({ m_self.instance, m_settings.domain, m_settings.entryListen, !m_trafficReport.areLinksLost });
    for (const auto* it : m_fleet.livePeers(now)) {
        if (it->heartbeat.ready && !it->heartbeat.leaving)
            entries.push_back({ it->heartbeat.from.instance, it->heartbeat.domain, it->heartbeat.addresses.entry, it->heartbeat.reachesUpstreams });
    }
    return entries;
}

TimePoint ControlPlane::upToDateAt(TimePoint now) const
{
    return std::max(m_store.lastResponseAt(), m_fleet.lastReplyAt(m_mirror.revision(), now));
}

void ControlPlane::publish(TimePoint now)
{
    if (!m_viewChanged)
        return;
    m_viewChanged = false;
    auto view = std::make_shared<FleetView>();
    view->configuration = m_configuration;
    for (auto& it : m_upstreams.usable())
        view->upstreams[it.service].push_back(it);
    view->domains = m_evacuations.availability();
    view->rollouts = m_rollouts.rolloutViews();
    view->entries = entries(now);
    view->refusedRequests = m_quarantines.requests();
    view->knownInstances = m_lastFleet.known > 0 ? m_lastFleet.known : m_fleet.size(now);
    view->isFullMesh = m_fleet.isFullMesh();
    view->passesOnNews = m_fleet.passesOnNews();
    view->storeRevision = m_mirror.revision();
    view->upToDateAt = upToDateAt(now);
    m_outputs.publishView(view);
}

}
