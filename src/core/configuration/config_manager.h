#pragma once

// Keeps this instance's active configuration in step with the store, which is authoritative. Every instance reads the
// store once when it starts. Afterwards only a few instances watch the configuration's key there. All others learn of a new
// revision from heartbeats and fetch it from a peer, so that the store's load does not grow with the number of instances.
//
// The active revision never decreases, whatever the store or a peer reports. If the store has an older revision, a watcher
// writes the newer one back. An edit reads the stored document and replaces it by a compare-and-swap. If the swap fails or
// its reply is lost, the document is read again: the edit id in its history shows whether the edit was applied.

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

// Parses a document. Returns null and sets the error message if the document is not valid.
using ConfigurationReader = std::function<ConfigurationPtr(const ConfigurationDocument&, std::string& error)>;

class ConfigManager {
public:
    ConfigManager(Membership&, StoreCalls&, ConfigurationReader, ConfigManagerSettings);

    // Activates a document if it is valid and its revision is higher. Returns true if it was activated.
    bool adopt(const ConfigurationDocument&, Outbox&);

    // Starts an operator's edit. Its result is an EditCompleted action, usually after replies from the store.
    void edit(EditRequested, TimePoint, Outbox&);
    // Processes the revision in a peer's heartbeat: pulls the document if the peer has a newer one. Otherwise the peer
    // confirms that the document read at startup is current, so that it is activated without a further wait.
    void onPeerRevision(const InstanceId& from, Revision, TimePoint, Outbox&);
    // Sends the active document, if there is one, to a peer that asked for it.
    void onConfigurationPull(const InstanceId& from, Outbox&) const;
    // Processes timers. Also starts to read or watch the store if that is due; nextWake() does not report this, so it must be
    // called at other times too.
    void wake(TimePoint, Outbox&);
    std::optional<TimePoint> nextWake() const;

    // If true, adopt() accepts lower revisions, and an older revision in the store is not replaced by the active one.
    // Mutation tests use this to show that the site checks detect it.
    void mutateForTest(bool takeLowerRevision) { m_acceptLowerRevision = takeLowerRevision; }

    // The active configuration; null if there is none yet.
    const ConfigurationPtr& current() const { return m_current; }
    // The document of the active configuration; its revision is 0 if there is none yet.
    const ConfigurationDocument& document() const { return m_document; }
    Revision revision() const { return m_document.revision; }

private:
    struct Edit {
        EditRequested request;
        TimePoint deadline;
        // Whether a swap was sent, so that the edit may have been applied.
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
    // The store's revision of the key when it was last read or watched, as opposed to the revision in the document.
    std::uint64_t m_storeRevision = 0;
    bool m_acceptLowerRevision = false;
    // Whether a read or watch of the key is in flight.
    bool m_watching = false;
    // Whether the store has replied to a read of the key since this instance started.
    bool m_storeRead = false;
    // Document read from the store while no configuration is active yet, and when it was read.
    std::optional<ConfigurationDocument> m_startupDocument;
    TimePoint m_startupDocumentReadAt {};
    // Whether a peer has reported a revision that is not newer than the one that this instance has read.
    bool m_peerConfirmed = false;
    std::optional<TimePoint> m_retryAt;
    std::map<std::uint64_t, Edit> m_edits;
};

}
