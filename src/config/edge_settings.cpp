#include "config/edge_settings.h"

namespace skylarkhitch {

namespace {

    constexpr const char* edgeKey = "edge";
    constexpr Range seconds { 0.05, 3600 };

    const Field<EdgeSettings> edgeFields[] = {
        { "instance", &EdgeSettings::instance, "-", {}, true, "name of this instance, unique in the site" },
        { "domain", &EdgeSettings::domain, "domain", {}, true, "failure domain of this instance" },
        { "entry_listen", &EdgeSettings::entryListen, "ip:port", {}, true, "address on which callers send requests" },
        { "ready_listen", &EdgeSettings::readyListen, "ip:port", {}, true, "address for the platform's readiness checks" },
        { "directory_listen", &EdgeSettings::directoryListen, "ip:port", {}, true, "address on which callers query which entry addresses to use" },
        { "peer_listen", &EdgeSettings::peerListen, "ip:port", {}, true, "address on which other instances send heartbeats (UDP) and fetch the copy of the store (TCP)" },
        { "metrics_listen", &EdgeSettings::metricsListen, "ip:port", {}, true, "address on which metrics are served" },
        { "seeds", &EdgeSettings::seeds, "ip:port", {}, false, "initial peer addresses of other instances" },
        { "seed_port", &EdgeSettings::seedPort, "port", { 0, 65535 }, false, "port that overrides the port of every seed; 0 keeps the ports of the seeds" },
        { "store", &EdgeSettings::store, "ip:port", {}, true, "address of the platform's store" },
        { "log_level", &EdgeSettings::logLevel, "-", {}, false, "minimum level of log lines: debug, info, warning or error" },
        { "configuration_limit_ms", &EdgeSettings::configurationLimitMs, "ms", { 100, 60000 }, false, "time within which a new configuration must be in force; bounds how long changes of the store are collected before they are read" },
        { "drain_limit_ms", &EdgeSettings::drainLimitMs, "ms", { 100, 60000 }, false, "the same for upstreams that drain" },
        { "evacuation_limit_ms", &EdgeSettings::evacuationLimitMs, "ms", { 100, 60000 }, false, "the same for upstreams of a failure domain that is evacuated" },
        { "cpu_cores", &EdgeSettings::cpuCores, "cores", { 0.01, 1024 }, false, "processor cores that this instance has; those with more relay for the others of their domain in a large site" },
        { "memory_limit_mb", &EdgeSettings::memoryLimitMb, "MB", { 0, 1e9 }, false, "memory above which the platform kills the process; bounds what is held for callers and upstreams (see OPERATIONS.md); 0 if no limit is known, and then nothing is bounded" },
        { "descriptor_limit", &EdgeSettings::descriptorLimit, "descriptors", { 0, 1e9 }, false, "descriptors that the process may have open; bounds the connections of callers (see OPERATIONS.md); 0 if no limit is known, and then nothing is bounded" },
        { "link_mbps", &EdgeSettings::linkMbps, "Mbit/s", { 0, 1e6 }, false, "rate of the link of this instance; while what it passes on to peers fills the link, connections that do not open do not show that the link is lost; 0 if the rate is not known" },
        { "stop_grace_s", &EdgeSettings::stopGraceSeconds, "s", seconds, false, "time from SIGTERM until the platform kills the process" },
        { "session_s", &EdgeSettings::sessionSeconds, "s", seconds, false, "idle time after which the next request of a session may use another release" },
        { "entry_keep_s", &EdgeSettings::entryKeepSeconds, "s", { 1, 60 }, false, "how long callers may cache the entry addresses that they were given" },
        { "repeat_ratio", &EdgeSettings::retryRatio, "-", { 0, 10 }, false, "retries allowed per request of a service; every send after the first counts, including one to a larger model" },
        { "repeat_window_s", &EdgeSettings::retryWindowSeconds, "s", seconds, false, "sliding window over which requests and retries of a service are counted" },
        { "repeat_headroom", &EdgeSettings::retryHeadroom, "sends", { 0, 1e6 }, false, "additional retries allowed per service and window, over all instances together" },
        { "prompt_memory", &EdgeSettings::promptMemory, "-", {}, false, "whether engines that state their memory are chosen by what they are expected to have cached of a prompt" },
    };

}

bool isEdgeDocument(const DocumentNode& root)
{
    return root.kind == DocumentNode::Kind::Map && root.members.contains(edgeKey);
}

std::optional<EdgeSettings> parseEdgeSettings(const DocumentNode& root, std::vector<DocumentError>& errors)
{
    EdgeSettings settings;
    for (const auto& [key, node] : root.members) {
        if (key == edgeKey)
            readFields(node, edgeFields, settings, errors);
        else
            errors.push_back({ node.location, "unknown key '" + key + "' beside '" + edgeKey + "'" });
    }
    return errors.empty() ? std::optional(settings) : std::nullopt;
}

std::vector<FieldDoc> describeEdgeSettings()
{
    return describeFields<EdgeSettings>(edgeFields);
}

}
