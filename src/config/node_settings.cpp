#include "config/node_settings.h"

namespace skylarkhitch {

namespace {

    constexpr Range duration { 1, 3600000 };

    const Field<NodeSettings> nodeFields[] = {
        { "instance", &NodeSettings::instance, "-", {}, true, "name of this instance, unique in the site" },
        { "domain", &NodeSettings::domain, "domain", {}, true, "failure domain of this instance" },
        { "listen", &NodeSettings::listen, "ip:port", {}, false, "where callers connect" },
        { "entry_address", &NodeSettings::entryAddress, "ip:port", {}, false, "address that callers are told; the listening one if not given" },
        { "operator_listen", &NodeSettings::operatorListen, "ip:port", {}, false, "where operators and metrics collectors connect" },
        { "peer_listen", &NodeSettings::peerListen, "ip:port", {}, false, "where other instances connect" },
        { "platform", &NodeSettings::platform, "ip:port", {}, false, "the platform's store and instance list, or 'memory' for an instance on its own" },
        { "rating_address", &NodeSettings::ratingAddress, "ip:port", {}, false, "the rating service; the platform's address if not given" },
        { "peer_secret", &NodeSettings::peerSecret, "-", {}, false, "secret shared by the instances of a site" },
        { "peers", &NodeSettings::peers, "id=ip:port", {}, false, "peer ports of other instances to begin with" },
        { "configuration_file", &NodeSettings::configurationFile, "path", {}, false, "base file to start with when the platform is 'memory'" },
        { "configuration_overlay", &NodeSettings::configurationOverlay, "path", {}, false, "overlay for it" },
        { "log_level", &NodeSettings::logLevel, "-", {}, false, "debug, info, warning or error" },
        { "drain_grace_ms", &NodeSettings::drainGrace, "ms", duration, false, "how long a stopping instance takes requests of callers that kept its address" },
        { "drain_limit_ms", &NodeSettings::drainLimit, "ms", duration, false, "longest time of a graceful shutdown" },
        { "heartbeat_ms", &NodeSettings::heartbeatPeriod, "ms", { 20, 60000 }, false, "period of heartbeats to other instances" },
        { "list_period_ms", &NodeSettings::listPeriod, "ms", { 20, 60000 }, false, "period of reading the instance list" },
        { "load_period_ms", &NodeSettings::loadPeriod, "ms", { 20, 60000 }, false, "period of asking upstreams for their load" },
        { "ledger_shards", &NodeSettings::ledgerShards, "shards", { 1, 64 }, false, "shards of the ledger; fixed for the life of a site" },
        { "store_writes_per_second", &NodeSettings::storeWritesPerSecond, "1/s", { 1, 100000 }, false, "the site's budget of store writes for the ledger" },
        { "seed", &NodeSettings::seed, "-", { 0, 1e15 }, false, "seed of random choices; 0 takes one from the clock" },
        { "max_connections", &NodeSettings::maxConnections, "connections", { 8, 100000 }, false, "callers connected at the same time" },
        { "idle_timeout_ms", &NodeSettings::idleTimeout, "ms", { 1000, 3600000 }, false, "time after which a connection that sends nothing is closed" },
        { "cut_off_after_ms", &NodeSettings::cutOffAfter, "ms", duration, false, "time without store and most peers after which no new work is taken" },
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
