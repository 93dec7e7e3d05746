#pragma once

// Settings of an entry instance on a platform that declares routes: the "edge" map of a settings file.

#include "config/field_table.h"

#include <optional>

namespace skylarkhitch {

struct EdgeSettings {
    InstanceId instance;
    DomainId domain;
    std::string entryListen;
    std::string readyListen;
    std::string directoryListen;
    // UDP for heartbeats, TCP for fetching the copy of the store.
    std::string peerListen;
    std::string metricsListen;
    // Initial peer addresses.
    std::vector<std::string> seeds;
    // Overrides the port of every seed, for platforms that list the seeds with other ports; 0 keeps the seeds' ports.
    std::int64_t seedPort = 0;
    std::string store;
    std::string logLevel = "info";
    double stopGraceSeconds = 8;
    double sessionSeconds = 5;
    double entryKeepSeconds = 1;
    double retryRatio = 0.2;
    double retryWindowSeconds = 10;
    double retryHeadroom = 10;

    Milliseconds stopGrace() const { return inMilliseconds(stopGraceSeconds); }
    Milliseconds sessionIdleTimeout() const { return inMilliseconds(sessionSeconds); }
    Milliseconds entryCacheTime() const { return inMilliseconds(entryKeepSeconds); }
    Milliseconds retryWindow() const { return inMilliseconds(retryWindowSeconds); }

private:
    static Milliseconds inMilliseconds(double seconds) { return Milliseconds(static_cast<std::int64_t>(seconds * 1000)); }
};

// Whether the document has the top-level key "edge".
bool isEdgeDocument(const DocumentNode& root);

// Returns nullopt if there are errors, each of which carries its file and line.
std::optional<EdgeSettings> parseEdgeSettings(const DocumentNode& root, std::vector<DocumentError>& errors);

std::vector<FieldDoc> describeEdgeSettings();

}
