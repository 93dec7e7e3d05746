#pragma once

// An instance's local copy of the platform store. The store numbers its changes, so a mirror holds the state at one
// revision. Mirrors exchange the changes between two revisions, so that an instance whose store calls fail can catch up
// from a peer. Writes that only show that the writer of an item is alive are no news: mirrors do not exchange them.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkhitch {

struct StoreChange {
    std::string key;
    // The store's revision after the change.
    std::int64_t revision = 0;
    // nullopt if the key was removed.
    std::optional<std::string> value;
};

// Either the changes after a revision or, if the history does not reach back that far, a snapshot of all items.
struct MirrorUpdate {
    // Revision of the mirror after the update.
    std::int64_t revision = 0;
    bool isSnapshot = false;
    std::vector<StoreChange> changes;
};

// Encodes an update as CBOR for transfer between peers.
std::string encodeUpdate(const MirrorUpdate&);
// Returns nullopt if the bytes are not a complete update.
std::optional<MirrorUpdate> decodeUpdate(const std::string& bytes);

class StoreMirror {
public:
    struct Item {
        std::string value;
        // The revision of the last change of the item.
        std::int64_t revision = 0;
    };
    // Called for each key whose item changed, with null if the key was removed.
    using Observer = std::function<void(const std::string& key, const Item*)>;
    // Recognizes writes that only renew an item, and learns of them instead of the observer.
    struct Renewals {
        std::function<bool(const std::string& key, const std::string& before, const std::string& after)> isRenewal;
        Observer observer;
    };

    explicit StoreMirror(Observer observer, Renewals renewals = {})
        : m_observer(std::move(observer))
        , m_renewals(std::move(renewals))
    {
    }

    // Applies an update. Returns false, without any change, if its revision is not higher than the mirror's. At revision 0
    // any update is applied.
    bool applyUpdate(const MirrorUpdate&);
    // Returns the update that brings another mirror from the given revision to that of this one: the last change of each key. From
    // 0 it is a snapshot.
    MirrorUpdate changesSince(std::int64_t revision) const;

    // Current revision; 0 before the first update.
    std::int64_t revision() const { return m_revision; }
    // The revision of the last change that was more than a renewal. A mirror at a lower revision lacks something.
    std::int64_t newsRevision() const { return m_newsRevision; }
    const Item* find(const std::string& key) const;
    const std::map<std::string, Item>& items() const { return m_items; }

private:
    // Maximum number of changes kept for peers that are slightly behind.
    static constexpr std::size_t maxHistory = 1024;
    // Maximum size of their keys and values, in bytes. Peers that lack changes which are gone get a snapshot.
    static constexpr std::size_t maxHistoryBytes = std::size_t { 2 } << 20;

    void applyChange(const StoreChange&);
    // Appends a change to the history and drops the oldest ones that are too many.
    void remember(const StoreChange&);
    // Stores the value of an item and tells the observer. Returns false if it only renews the item.
    bool write(const std::string& key, Item);
    void applySnapshot(const MirrorUpdate&);

    Observer m_observer;
    Renewals m_renewals;
    std::map<std::string, Item> m_items;
    std::deque<StoreChange> m_history;
    std::size_t m_historyBytes = 0;
    // The history has all changes after this revision.
    std::int64_t m_historyAfter = 0;
    std::int64_t m_revision = 0;
    std::int64_t m_newsRevision = 0;
};

}
