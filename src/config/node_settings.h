#pragma once

// Settings of one entry instance: its identity, addresses, platform, periods and limits. config/edge_settings.h has those for
// platforms that declare routes.

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
    // "memory" for a standalone instance, otherwise the ip:port of the platform's store and instance list.
    std::string platform = "memory";
    // Rating service. If empty, the platform's address; if the platform is "memory", no response is rated then.
    std::string ratingAddress;
    // Shared secret with which the instances of a site authenticate to each other.
    std::string peerSecret;
    // Paths of the initial configuration and its overlay, used only if the platform is "memory".
    std::string configurationFile;
    std::string configurationOverlay;
    std::string logLevel = "info";
    // Initial peers, as "id=ip:port" of their peer ports; the instance list adds to them.
    std::vector<std::string> peers;
    // How long a draining instance still accepts requests, for callers that have cached its address.
    Milliseconds drainGrace { 5000 };
    // Maximum duration of a drain, counted from the stop signal.
    Milliseconds drainLimit { 120000 };
    Milliseconds heartbeatPeriod { 500 };
    // Period of requesting the instance list.
    Milliseconds listPeriod { 1000 };
    // Period of requesting the load of each upstream.
    Milliseconds loadPeriod { 500 };
    // Fixed for the lifetime of a site.
    std::int64_t ledgerShards = 8;
    // Write budget of the whole site for the ledger.
    std::int64_t storeWritesPerSecond = 240;
    // Seed of random choices; 0 takes one from the clock.
    std::int64_t seed = 0;
    // Maximum number of callers' connections at the same time.
    std::int64_t maxConnections = 4000;
    // Time after which a connection that sends nothing is closed, rounded down to whole seconds.
    Milliseconds idleTimeout { 30000 };
    // How long neither the store nor enough peers can be reached before the instance stops accepting requests.
    Milliseconds cutOffAfter { 10000 };
};

// Parses the settings and fills in addresses that default to others. Returns nullopt if errors is not empty afterwards.
std::optional<NodeSettings> parseNodeSettings(const DocumentNode&, std::vector<DocumentError>& errors);

std::vector<FieldDoc> describeNodeSettings();

}
