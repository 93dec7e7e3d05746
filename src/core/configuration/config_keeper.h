#pragma once

// Holds the configuration in force. The store's value is the truth; a few instances watch it and the others learn of
// a new revision by heartbeat and fetch it from a peer, so that the store's calls do not grow with the fleet. A revision
// never goes down, whatever store or peer says, and a watcher writes it back to a store that lost it. An edit is one compare-and-swap, settled by its id when the reply is lost.

#include "core/membership/membership.h"
#include "core/store_calls.h"

#include <functional>

namespace skylarkhitch {

struct ConfigKeeperSettings {
    // Instances that watch the store.
    std::size_t watchers = 2;
    Milliseconds watchTimeout { 10000 };
    Milliseconds retryDelay { 500 };
    Milliseconds storeTimeout { 2000 };
    // Longest time for which a new instance waits for a peer's word before it takes the store's: the store may have been
    // restored from an old copy.
    Milliseconds startGrace { 1000 };
    // Time after which an edit whose fate can not be read is answered as unknown.
    Milliseconds editTimeout { 8000 };
};

// Turns a document into a configuration; null with a message if it is not valid.
using ConfigurationReader = std::function<ConfigurationPtr(const ConfigurationDocument&, std::string& error)>;

class ConfigKeeper {
public:
    ConfigKeeper(Membership&, StoreCalls&, ConfigurationReader, ConfigKeeperSettings);

    // Takes a document if its revision is higher. True if it came into force.
    bool adopt(const ConfigurationDocument&, Outbox&);

    void edit(EditRequested, TimePoint, Outbox&);
    void heardRevision(const InstanceId& from, Revision, TimePoint, Outbox&);
    void onPull(const InstanceId& from, Outbox&) const;
    void wake(TimePoint, Outbox&);
    std::optional<TimePoint> nextWake() const;

    // Makes the keeper take any revision, to show that a check catches it.
    void mutateForTest(bool takeLowerRevision) { m_takeLowerRevision = takeLowerRevision; }

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
    void watched(const StoreReply&, TimePoint, Outbox&);
    void takeFromStore(const StoreItem&, TimePoint, Outbox&);
    void writeBack(std::uint64_t storeRevision, Outbox&);
    void adoptFirst(TimePoint, Outbox&);
    void readForEdit(std::uint64_t ticket, Outbox&);
    void wasReadForEdit(std::uint64_t ticket, const StoreReply&, TimePoint, Outbox&);
    void swapEdit(std::uint64_t ticket, const ConfigurationDocument& stored, std::uint64_t storeRevision, Outbox&);
    void editSwapped(std::uint64_t ticket, const StoreReply&, TimePoint, Outbox&);
    void retryEdit(std::uint64_t ticket, TimePoint, Outbox&);
    void answerEdit(std::uint64_t ticket, std::error_code, std::string message, Outbox&);

    Membership& m_membership;
    StoreCalls& m_store;
    ConfigurationReader m_reader;
    ConfigKeeperSettings m_settings;
    ConfigurationPtr m_current;
    ConfigurationDocument m_document;
    std::uint64_t m_storeRevision = 0;
    bool m_takeLowerRevision = false;
    bool m_watching = false;
    bool m_everRead = false;
    // What the store said to an instance that has no configuration yet, and when.
    std::optional<ConfigurationDocument> m_first;
    TimePoint m_firstAt {};
    bool m_peerHeard = false;
    std::optional<TimePoint> m_retryAt;
    std::map<std::uint64_t, Edit> m_edits;
};

}
