#pragma once

// Settings of one instance: its identity, addresses, platform, periods and limits.

#include "config/field_table.h"

#include <optional>

namespace skylarkhitch {

struct NodeSettings {
    InstanceId instance;
    DomainId domain;
    std::string listen = "127.0.0.1:8080";
    // Address advertised to callers; the listening address if empty.
    std::string entryAddress;
    std::string operatorListen = "127.0.0.1:8081";
    std::string peerListen = "127.0.0.1:8082";
    // "memory" for a standalone instance, otherwise the ip:port of the platform's services.
    std::string platform = "memory";
    std::string ratingAddress;
    // Shared secret with which the instances of a site authenticate to each other.
    std::string peerSecret;
    // Initial configuration if the platform is "memory".
    std::string configurationFile;
    std::string configurationOverlay;
    std::string logLevel = "info";
    // Initial peers, as "id=ip:port" of their peer ports; the instance list adds to them.
    std::vector<std::string> peers;
    Milliseconds drainGrace { 5000 };
    Milliseconds drainLimit { 120000 };
    Milliseconds heartbeatPeriod { 500 };
    Milliseconds listPeriod { 1000 };
    Milliseconds loadPeriod { 500 };
    std::int64_t ledgerShards = 8;
    std::int64_t storeWritesPerSecond = 240;
    std::int64_t seed = 0;
    std::int64_t maxConnections = 4000;
    Milliseconds idleTimeout { 30000 };
    Milliseconds cutOffAfter { 10000 };
};

// Returns nullopt if there are errors, each of which carries its file and line.
std::optional<NodeSettings> parseNodeSettings(const DocumentNode&, std::vector<DocumentError>& errors);

std::vector<FieldDoc> describeNodeSettings();

}
