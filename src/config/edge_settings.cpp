#include "config/edge_settings.h"

namespace skylarkhitch {

namespace {

    constexpr const char* edgeKey = "edge";
    constexpr Range seconds { 0.05, 3600 };

    const Field<EdgeSettings> edgeFields[] = {
        { "instance", &EdgeSettings::instance, "-", {}, true, "name of this instance, unique in the site" },
        { "domain", &EdgeSettings::domain, "domain", {}, true, "failure domain of this instance" },
        { "entry_listen", &EdgeSettings::entryListen, "ip:port", {}, true, "where callers send requests" },
        { "ready_listen", &EdgeSettings::readyListen, "ip:port", {}, true, "where the platform asks whether the instance is ready" },
        { "directory_listen", &EdgeSettings::directoryListen, "ip:port", {}, true, "where callers ask which addresses to use" },
        { "peer_listen", &EdgeSettings::peerListen, "ip:port", {}, true, "where other instances send beats (UDP) and fetch the copy of the store (TCP)" },
        { "metrics_listen", &EdgeSettings::metricsListen, "ip:port", {}, true, "where metrics are read" },
        { "seeds", &EdgeSettings::seeds, "ip:port", {}, false, "peer addresses of other instances to begin with" },
        { "seed_port", &EdgeSettings::seedPort, "port", { 0, 65535 }, false, "port of peers in place of the one that a seed names; 0 takes the seed's" },
        { "store", &EdgeSettings::store, "ip:port", {}, true, "the platform's store" },
        { "log_level", &EdgeSettings::logLevel, "-", {}, false, "debug, info, warning or error" },
        { "stop_grace_s", &EdgeSettings::stopGraceSeconds, "s", seconds, false, "time from SIGTERM until the platform kills the process" },
        { "session_s", &EdgeSettings::sessionSeconds, "s", seconds, false, "pause after which a session's next request may move to another release" },
        { "entry_keep_s", &EdgeSettings::entryKeepSeconds, "s", { 1, 60 }, false, "how long callers may keep the addresses that they were told" },
        { "repeat_ratio", &EdgeSettings::retryRatio, "-", { 0, 10 }, false, "sends beyond the first that a service may get for each of its requests" },
        { "repeat_window_s", &EdgeSettings::retryWindowSeconds, "s", seconds, false, "window over which repeats are counted" },
        { "repeat_headroom", &EdgeSettings::retryHeadroom, "sends", { 0, 1e6 }, false, "repeats allowed beside these in one window, over all instances" },
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
