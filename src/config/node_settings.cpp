#include "config/node_settings.h"

namespace skylarkhitch {

namespace {

    constexpr Range duration { 1, 3600000 };

    const Field<NodeSettings> nodeFields[] = {
        { "instance", &NodeSettings::instance, "-", {}, true, "name of this instance, unique in the site" },
        { "domain", &NodeSettings::domain, "domain", {}, true, "failure domain of this instance" },
        { "listen", &NodeSettings::listen, "ip:port", {}, false, "address on which callers connect" },
        { "entry_address", &NodeSettings::entryAddress, "ip:port", {}, false, "address advertised to callers; the listening address if not given" },
        { "operator_listen", &NodeSettings::operatorListen, "ip:port", {}, false, "address on which operators and metrics collectors connect" },
        { "peer_listen", &NodeSettings::peerListen, "ip:port", {}, false, "address on which other instances connect" },
        { "platform", &NodeSettings::platform, "ip:port", {}, false, "address of the platform's store and instance list, or 'memory' for a standalone instance" },
        { "rating_address", &NodeSettings::ratingAddress, "ip:port", {}, false, "address of the rating service; the platform's address if not given" },
        { "peer_secret", &NodeSettings::peerSecret, "-", {}, false, "shared secret with which the instances of a site authenticate to each other" },
        { "peers", &NodeSettings::peers, "id=ip:port", {}, false, "initial peers, with the addresses of their peer ports" },
        { "configuration_file", &NodeSettings::configurationFile, "path", {}, false, "initial base file of the configuration; used only if the platform is 'memory'" },
        { "configuration_overlay", &NodeSettings::configurationOverlay, "path", {}, false, "initial overlay of the configuration; used only if the platform is 'memory'" },
        { "log_level", &NodeSettings::logLevel, "-", {}, false, "minimum level of log lines: debug, info, warning or error" },
        { "drain_grace_ms", &NodeSettings::drainGrace, "ms", duration, false, "how long a draining instance still accepts requests, for callers that have cached its address" },
        { "drain_limit_ms", &NodeSettings::drainLimit, "ms", duration, false, "maximum duration of a graceful shutdown" },
        { "heartbeat_ms", &NodeSettings::heartbeatPeriod, "ms", { 20, 60000 }, false, "period of heartbeats to other instances" },
        { "list_period_ms", &NodeSettings::listPeriod, "ms", { 20, 60000 }, false, "period of requesting the instance list" },
        { "load_period_ms", &NodeSettings::loadPeriod, "ms", { 20, 60000 }, false, "period of requesting the load of each upstream" },
        { "ledger_shards", &NodeSettings::ledgerShards, "shards", { 1, 64 }, false, "number of ledger shards; fixed for the lifetime of a site" },
        { "store_writes_per_second", &NodeSettings::storeWritesPerSecond, "1/s", { 1, 100000 }, false, "write budget of the whole site for the ledger" },
        { "seed", &NodeSettings::seed, "-", { 0, 1e15 }, false, "seed of random choices; 0 takes one from the clock" },
        { "max_connections", &NodeSettings::maxConnections, "connections", { 8, 100000 }, false, "maximum number of concurrent connections from callers" },
        { "idle_timeout_ms", &NodeSettings::idleTimeout, "ms", { 1000, 3600000 }, false, "time after which a connection that sends nothing is closed" },
        { "cut_off_after_ms", &NodeSettings::cutOffAfter, "ms", duration, false, "how long neither the store nor most peers can be reached before the instance rejects new requests" },
    };

}

std::optional<NodeSettings> parseNodeSettings(const DocumentNode& root, std::vector<DocumentError>& errors)
{
    NodeSettings settings;
    readFields(root, nodeFields, settings, errors);
    if (settings.platform != "memory" && settings.peerSecret.empty())
        errors.push_back({ root.location, "key 'peer_secret' is missing; instances with a platform need it" });
    if (!errors.empty())
        return std::nullopt;
    if (settings.entryAddress.empty())
        settings.entryAddress = settings.listen;
    if (settings.ratingAddress.empty() && settings.platform != "memory")
        settings.ratingAddress = settings.platform;
    return settings;
}

std::vector<FieldDoc> describeNodeSettings()
{
    return describeFields<NodeSettings>(nodeFields);
}

}
