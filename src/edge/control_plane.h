#pragma once

// The control thread of an entry instance: maintains the local copy of the store, the list of peers and the rollouts, and sends
// the traffic thread a new view whenever one of them changes.

#include "config/edge_settings.h"
#include "core/membership/fleet_membership.h"
#include "core/membership/store_outage.h"
#include "core/routing/link_load.h"
#include "core/routing/upstream_registry.h"
#include "edge/caller_connection.h"
#include "edge/fleet_view.h"
#include "edge/peer_documents.h"
#include "edge/process_state.h"
#include "edge/quarantine_keeper.h"
#include "edge/rollout_controller.h"
#include "edge/store_client.h"

#include <random>

namespace skylarkhitch {

class ControlPlane {
public:
    // Callbacks, called on the control thread.
    struct Outputs {
        std::function<void(FleetViewPtr)> publishView;
        std::function<void(PeerUpdate)> publishPeerUpdate;
        // Called for each heartbeat that has such news.
        std::function<void(PeerNews)> publishPeerNews;
        // Called when the link of this instance is full until then, see LinkLoad.
        std::function<void(TimePoint)> publishLinkFull;
    };

    ControlPlane(EventLoop&, const EdgeSettings&, Incarnation, EdgeMetrics&, Outputs);

    void start();
    // Called once per heartbeat period with the state of the traffic thread. Sends a heartbeat, advances the rollouts, and
    // publishes the peers' state and, if it changed, the view.
    void handleTrafficReport(TrafficReport);
    // Announces that this instance is shutting down, so that callers are directed to other instances.
    void leave();
    // Adds the peer addresses of the settings file as targets of heartbeats. A seed port in the settings replaces their ports.
    void addSeeds(const std::vector<std::string>& seeds);

private:
    struct FleetState {
        // Number of known instances, live or not, including this one.
        std::size_t known = 0;
        bool passesOnNews = true;
        // Live instances that accept new callers.
        std::vector<EntryInstance> entries;

        friend bool operator==(const FleetState&, const FleetState&) = default;
    };

    Awaitable<void> followStore();
    Awaitable<void> maintainRegistration();
    Awaitable<bool> writeRegistration(std::int64_t lease);
    Awaitable<void> receiveHeartbeats();
    // Sends a peer a GET request. Returns the body of its response, or nullopt if the peer does not deliver one.
    Awaitable<std::optional<std::string>> fetchFromPeer(std::string peerAddress, std::string target);
    Awaitable<void> catchUpFromPeer(std::string peerAddress, std::string name);
    Awaitable<void> takeConfigurationFromPeer(std::string peerAddress, std::string name);
    Awaitable<void> servePeer(std::shared_ptr<CallerConnection>, ReceivedRequest);
    // The response to a peer that fetches this version of a document.
    EdgeResponse peerResponse(const ReceivedRequest&, PeerDocuments&, std::int64_t version, const std::function<std::string()>& make);
    Awaitable<void> serveMetrics(std::shared_ptr<CallerConnection>, ReceivedRequest);

    // Time between two calls of the store's watch.
    Milliseconds watchPause() const;
    Milliseconds leaseRenewalTime(bool isRegistered);
    // Whether the store served this instance lately.
    bool reachesStore(TimePoint now) const;
    // Applies an update to the copy of the store, and publishes what it changes.
    void applyUpdate(const MirrorUpdate&);
    using ItemHandler = void (ControlPlane::*)(const std::string& key, const StoreMirror::Item*);
    // Returns an observer of the copy that calls the handler. An exception that leaves the handler concerns its item only: it is
    // logged, and the items after it are applied.
    StoreMirror::Observer contained(ItemHandler);
    void itemChanged(const std::string& key, const StoreMirror::Item*);
    void itemRenewed(const std::string& key, const StoreMirror::Item*);
    // Takes over a configuration that was read from the given source if it can be read and is later than the one in force.
    void takeConfiguration(const std::string& text, const std::string& source);
    void upstreamChanged(const std::string& id, const StoreMirror::Item*);
    void instanceChanged(const std::string& key, const StoreMirror::Item*);
    void evacuationChanged(const DomainId&, const StoreMirror::Item*);
    // Logs a change of an evacuation, and has the view replaced if the domain is used differently for it.
    void announceEvacuation(const DomainId&, DomainEvacuations::Change, const std::string& source);

    // An urgent heartbeat is one between the regular ones: it goes to all that get any, without digests.
    void sendHeartbeat(bool isUrgent, TimePoint now);
    // Sends the heartbeat to hubs, and with a digest to those that asked for one.
    void sendToHubs(FleetHeartbeat, TimePoint now);
    void sendTo(const std::vector<std::string>& receivers, const FleetHeartbeat&);
    void handleHeartbeat(const std::string& bytes);
    // Called when the control thread is active, to find out whether the process was paused before.
    void noticePause(TimePoint now);
    // Whether the heartbeats that are read may be those that arrived during a pause.
    bool mayReadQueuedHeartbeats(TimePoint now) const;
    // Brings the quarantines in the store up to date.
    void keepQuarantines(TimePoint now);
    void catchUpIfBehind(TimePoint now);
    void fetchLaterConfiguration(TimePoint now);
    void updateStoreState(TimePoint now);
    // Last time at which the store was unreachable from here and all peers, or had come back from a copy, as far as this instance
    // and its live peers know. What peers claim of a time in which the store served this instance does not count.
    std::optional<TimePoint> lastOutageAt(TimePoint now) const;
    // From when an entry that is missing from this copy of the store means that the upstream is gone: some time after the last outage.
    // Before that, the entry may have expired in the outage.
    TimePoint missingMeansGoneFrom(TimePoint now) const;
    bool isCoordinator(TimePoint now) const;
    bool oldReleaseIsIdle(const RolloutOrder&) const;
    void publish(TimePoint now);
    PeerUpdate peerUpdate(TimePoint now) const;
    std::vector<EntryInstance> entries(TimePoint now) const;
    TimePoint upToDateAt(TimePoint now) const;

    EventLoop& m_loop;
    EdgeSettings m_settings;
    Incarnation m_self;
    EdgeMetrics& m_metrics;
    ProcessState m_process;
    Outputs m_outputs;
    StoreClient m_store;
    StoreMirror m_mirror;
    UpstreamRegistry m_upstreams;
    DomainEvacuations m_evacuations;
    RolloutController m_rollouts;
    QuarantineKeeper m_quarantines;
    FleetMembership m_fleet;
    ListedInstances m_listed;
    asio::ip::udp::socket m_heartbeatSocket;
    std::mt19937_64 m_random;
    std::unique_ptr<HttpListener> m_peerListener;
    std::unique_ptr<HttpListener> m_metricsListener;
    RoutingConfigurationPtr m_configuration;
    // The document of the configuration, for peers.
    std::string m_configurationText;
    PeerDocuments m_configurations;
    // Changes of the store, for peers.
    PeerDocuments m_changes;
    LinkLoad m_linkLoad;
    bool m_fetchingConfiguration = false;
    TrafficReport m_trafficReport;
    std::uint64_t m_sequence = 0;
    // Rotates through the live peers, whose addresses are listed in the heartbeats a few at a time.
    std::size_t m_nextKnownPeer = 0;
    // Last time at which neither this instance nor any live peer could reach the store, or at which this instance was the first to
    // see that the store had come back from a copy.
    std::optional<TimePoint> m_storeUnreachableAt;
    StoreOutage m_outage;
    TimePoint m_lastActiveAt {};
    // End of the last pause of the process.
    TimePoint m_resumedAt {};
    // Last time at which this instance reached neither the store nor most of its peers, until it hears from one that reaches the store.
    std::optional<TimePoint> m_isolatedAt;
    // Since when a peer's copy of the store has been ahead of this one.
    std::optional<TimePoint> m_behindSince;
    bool m_catchingUp = false;
    // An update is being applied that replaces the contents of an earlier era by those of an older copy.
    bool m_isReadingCopy = false;
    bool m_leaving = false;
    bool m_viewChanged = true;
    FleetState m_lastFleet;
};

}
