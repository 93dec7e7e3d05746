#pragma once

// Keeps this instance's active configuration in step with the store, which is authoritative. A few instances watch the
// key in the store. All others learn of a new revision from heartbeats and fetch it from a peer, so that the number of
// store calls does not grow with the number of instances.
//
// The active revision never decreases, whatever a store or a peer reports. If the store has an older revision, a watcher
// writes the newer one back. An edit is one compare-and-swap; if its reply is lost, the edit id in the stored document
// shows whether it was applied.

#include "core/membership/membership.h"
#include "core/store_calls.h"

#include <functional>

namespace skylarkhitch {

struct ConfigManagerSettings {
    // Number of instances that watch the store.
    std::size_t watcherCount = 2;
    Milliseconds watchTimeout { 10000 };
    Milliseconds retryDelay { 500 };
    Milliseconds storeTimeout { 2000 };
    // How long a starting instance waits for a peer's revision before it accepts the document in the store, which may
    // have been restored from an old backup.
    Milliseconds startupPeerWait { 1000 };
    // Time after which an edit fails with StoreUnavailable if the store can not be read to find its result.
    Milliseconds editTimeout { 8000 };
};

// Parses a document. Returns null and sets the error message if it is not valid.
using ConfigurationReader = std::function<ConfigurationPtr(const ConfigurationDocument&, std::string& error)>;

class ConfigManager {
public:
    ConfigManager(Membership&, StoreCalls&, ConfigurationReader, ConfigManagerSettings);

    // Activates a document if it is valid and its revision is higher. Returns true if it was activated.
    bool adopt(const ConfigurationDocument&, Outbox&);

    void edit(EditRequested, TimePoint, Outbox&);
    void onPeerRevision(const InstanceId& from, Revision, TimePoint, Outbox&);
    void onConfigurationPull(const InstanceId& from, Outbox&) const;
    void wake(TimePoint, Outbox&);
    std::optional<TimePoint> nextWake() const;

    // Makes adopt() accept lower revisions. Mutation tests use this to show that the site checks detect it.
    void mutateForTest(bool takeLowerRevision) { m_acceptLowerRevision = takeLowerRevision; }

    const ConfigurationPtr& current() const { return m_current; }
    const ConfigurationDocument& document() const { return m_document; }
    Revision revision() const { return m_document.revision; }

private:
    struct Edit {
        EditRequested request;
        TimePoint deadline;
        bool swapSent = false;
        std::optional<TimePoint> retryAt;
    };
    bool isWatcher() const;
    void watch(Outbox&);
    void onWatchReply(const StoreReply&, TimePoint, Outbox&);
    void applyStoreItem(const StoreItem&, TimePoint, Outbox&);
    void writeBack(std::uint64_t storeRevision, Outbox&);
    void adoptStartupDocument(TimePoint, Outbox&);
    void readStoredForEdit(std::uint64_t ticket, Outbox&);
    void onEditReadReply(std::uint64_t ticket, const StoreReply&, TimePoint, Outbox&);
    void sendEditSwap(std::uint64_t ticket, const ConfigurationDocument& stored, std::uint64_t storeRevision, Outbox&);
    void onEditSwapReply(std::uint64_t ticket, const StoreReply&, TimePoint, Outbox&);
    void retryOrFailEdit(std::uint64_t ticket, TimePoint, Outbox&);
    void answerEdit(std::uint64_t ticket, std::error_code, std::string message, Outbox&);

    Membership& m_membership;
    StoreCalls& m_store;
    ConfigurationReader m_reader;
    ConfigManagerSettings m_settings;
    ConfigurationPtr m_current;
    ConfigurationDocument m_document;
    std::uint64_t m_storeRevision = 0;
    bool m_acceptLowerRevision = false;
    bool m_watching = false;
    bool m_storeRead = false;
    // Document read from the store while no configuration is active yet, and when it was read.
    std::optional<ConfigurationDocument> m_startupDocument;
    TimePoint m_startupDocumentReadAt {};
    bool m_peerConfirmed = false;
    std::optional<TimePoint> m_retryAt;
    std::map<std::uint64_t, Edit> m_edits;
};

}
