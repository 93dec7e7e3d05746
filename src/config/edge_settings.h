#pragma once

// Settings of an entry instance on a platform that declares routes: the "edge" map of a settings file. On a reload, only the
// log level and new seeds take effect.

#include "config/field_table.h"

#include <optional>

namespace skylarkhitch {

struct EdgeSettings {
    InstanceId instance;
    DomainId domain;
    // For callers' requests.
    std::string entryListen;
    // For the platform's readiness checks.
    std::string readyListen;
    // Tells callers which entry addresses to use.
    std::string directoryListen;
    // For other instances: UDP for heartbeats, TCP for fetching the copy of the store.
    std::string peerListen;
    std::string metricsListen;
    // Initial peer addresses.
    std::vector<std::string> seeds;
    // Overrides the port of every seed, for platforms that list the seeds with other ports; 0 keeps the seeds' ports.
    std::int64_t seedPort = 0;
    // Address (ip:port) of the platform's store.
    std::string store;
    std::string logLevel = "info";
    // Times within which a new configuration must be in force, and within which an upstream that drains must get nothing more.
    double configurationLimitMs = 2000;
    double drainLimitMs = 2000;
    // Time within which the upstreams of an evacuated failure domain must get nothing more.
    double evacuationLimitMs = 5000;
    // Part of a processor core that this instance has. Instances with more relay for the others of their domain in a large site.
    double cpuCores = 1;
    // Memory above which the platform kills the process, and descriptors that it may have open; 0 if no limit is known. What is held
    // for callers follows from them.
    double memoryLimitMb = 0;
    double descriptorLimit = 0;
    // Rate of the link of this instance in Mbit/s; 0 if it is not known.
    double linkMbps = 0;
    // Time from SIGTERM until the platform kills the process.
    double stopGraceSeconds = 8;
    // Idle time after which the next request of a session may use another release.
    double sessionSeconds = 5;
    // How long callers may cache the entry addresses that they were given.
    double entryKeepSeconds = 1;
    // Retries per request of a service, within the window.
    double retryRatio = 0.2;
    double retryWindowSeconds = 10;
    // Additional retries per window, over all instances.
    double retryHeadroom = 10;
    // Whether engines are chosen by what they are expected to have cached of a prompt.
    bool promptMemory = false;

    Milliseconds configurationLimit() const { return Milliseconds(static_cast<std::int64_t>(configurationLimitMs)); }
    Milliseconds drainLimit() const { return Milliseconds(static_cast<std::int64_t>(drainLimitMs)); }
    Milliseconds evacuationLimit() const { return Milliseconds(static_cast<std::int64_t>(evacuationLimitMs)); }
    std::int64_t capacity() const { return static_cast<std::int64_t>(100 * cpuCores); }
    std::int64_t memoryLimitBytes() const { return static_cast<std::int64_t>(memoryLimitMb * 1024 * 1024); }
    Milliseconds stopGrace() const { return inMilliseconds(stopGraceSeconds); }
    Milliseconds sessionIdleTimeout() const { return inMilliseconds(sessionSeconds); }
    Milliseconds entryCacheTime() const { return inMilliseconds(entryKeepSeconds); }
    Milliseconds retryWindow() const { return inMilliseconds(retryWindowSeconds); }

private:
    static Milliseconds inMilliseconds(double seconds) { return Milliseconds(static_cast<std::int64_t>(seconds * 1000)); }
};

// Whether the document has the top-level key "edge".
bool isEdgeDocument(const DocumentNode& root);

// Parses a document for which isEdgeDocument() is true; a missing "edge" map is not reported. Returns nullopt if errors is
// not empty afterwards.
std::optional<EdgeSettings> parseEdgeSettings(const DocumentNode& root, std::vector<DocumentError>& errors);

std::vector<FieldDoc> describeEdgeSettings();

}
