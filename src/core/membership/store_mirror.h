#pragma once

// An instance's copy of the platform store's keys. The store numbers its changes, so a copy is a state at a revision:
// copies exchange the changes between two revisions, and an instance that the store turns away catches up from a peer.

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
    std::int64_t revision = 0;
    // Nothing if the key was removed.
    std::optional<std::string> value;
};

// Either the changes after a revision or, if they are no longer known, the whole state.
struct MirrorUpdate {
    // The state that the update leads to.
    std::int64_t revision = 0;
    bool isWhole = false;
    std::vector<StoreChange> changes;
};

// The form in which peers pass updates on (CBOR).
std::string encodeUpdate(const MirrorUpdate&);
// Nothing if the bytes are not a whole update.
std::optional<MirrorUpdate> decodeUpdate(const std::string& bytes);

class StoreMirror {
public:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
    };
    // Called for each key whose item changed; null if it was removed.
    using Observer = std::function<void(const std::string& key, const Item*)>;

    explicit StoreMirror(Observer observer)
        : m_observer(std::move(observer))
    {
    }

    // Takes an update that leads past the present revision; others change nothing. False if it was not taken.
    bool take(const MirrorUpdate&);
    // What leads a copy at a revision to this one.
    MirrorUpdate since(std::int64_t revision) const;

    // 0 before the first update.
    std::int64_t revision() const { return m_revision; }
    const Item* find(const std::string& key) const;
    const std::map<std::string, Item>& items() const { return m_items; }

private:
    // Changes that are kept for peers that are a little behind.
    static constexpr std::size_t mostHistory = 1024;

    void apply(const StoreChange&);
    void replace(const MirrorUpdate&);

    Observer m_observer;
    std::map<std::string, Item> m_items;
    std::deque<StoreChange> m_history;
    // The history holds every change after this revision.
    std::int64_t m_historyAfter = 0;
    std::int64_t m_revision = 0;
};

}
