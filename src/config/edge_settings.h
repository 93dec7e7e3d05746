#pragma once

// The settings of one entry instance on a platform that declares routes: the map "edge" of a settings file.

#include "config/field_table.h"

#include <optional>

namespace skylarkhitch {

struct EdgeSettings {
    InstanceId instance;
    DomainId domain;
    std::string entryListen;
    std::string readyListen;
    std::string directoryListen;
    // For UDP and TCP.
    std::string peerListen;
    std::string metricsListen;
    // Other instances to begin with.
    std::vector<std::string> seeds;
    // Replaces the seeds' ports where the platform names other ones; 0 leaves them.
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
    Milliseconds sessionTime() const { return inMilliseconds(sessionSeconds); }
    Milliseconds entryKeep() const { return inMilliseconds(entryKeepSeconds); }
    Milliseconds retryWindow() const { return inMilliseconds(retryWindowSeconds); }

private:
    static Milliseconds inMilliseconds(double seconds) { return Milliseconds(static_cast<std::int64_t>(seconds * 1000)); }
};

// Whether a settings file is for such an instance.
bool isEdgeDocument(const DocumentNode& root);

// Nothing if there are errors, which then say where.
std::optional<EdgeSettings> parseEdgeSettings(const DocumentNode& root, std::vector<DocumentError>& errors);

std::vector<FieldDoc> describeEdgeSettings();

}
