#include "matrix/fault_table.h"

#include <absl/strings/str_replace.h>

namespace skylarkhitch {

namespace {

    constexpr Milliseconds outageDuration { 6000 };
    constexpr Milliseconds pauseDuration { 8000 };

    // The upstream that last began to run the watched request, or s1 if none has yet.
    UpstreamId busyUpstream(const SimulatedSite& site)
    {
        for (auto it = site.runs.rbegin(); it != site.runs.rend(); ++it) {
            if (it->request == site.watchedRequest)
                return it->upstream;
        }
        return { "s1" };
    }

    void killEntry(SimulatedSite& site, const FaultTarget& target)
    {
        site.kill(target.entry);
        site.after(Milliseconds(3000), [&site, target] { site.restart(target.entry); });
    }

    void killOthers(SimulatedSite& site, const FaultTarget& target)
    {
        for (std::size_t n = 1; n < 3; ++n) {
            auto other = (target.entry + n) % 3;
            site.kill(other);
            site.after(Milliseconds(3000), [&site, other] { site.restart(other); });
        }
    }

    void pauseEntry(SimulatedSite& site, const FaultTarget& target)
    {
        site.suspend(target.entry);
        site.after(pauseDuration, [&site, target] { site.resume(target.entry); });
    }

    // If one of the paused entries writes the shard of the record, it still considers itself the writer when it resumes.
    void pauseOthers(SimulatedSite& site, const FaultTarget& target)
    {
        for (std::size_t n = 1; n < 3; ++n) {
            auto other = (target.entry + n) % 3;
            site.suspend(other);
            site.after(pauseDuration, [&site, other] { site.resume(other); });
        }
    }

    void partitionEntryFromPeers(SimulatedSite& site, const FaultTarget& target)
    {
        for (std::size_t n = 1; n < 3; ++n) {
            auto other = (target.entry + n) % 3;
            site.cutPeers(target.entry, other, true);
            site.after(outageDuration, [&site, target, other] { site.cutPeers(target.entry, other, false); });
        }
    }

    void partitionEntryFromStore(SimulatedSite& site, const FaultTarget& target)
    {
        site.cutStore(target.entry, true);
        site.after(outageDuration, [&site, target] { site.cutStore(target.entry, false); });
    }

    void partitionEntryFromAll(SimulatedSite& site, const FaultTarget& target)
    {
        partitionEntryFromPeers(site, target);
        partitionEntryFromStore(site, target);
    }

    void storeDown(SimulatedSite& site, const FaultTarget&)
    {
        site.store.down = true;
        site.after(outageDuration, [&site] { site.store.down = false; });
    }

    void storeSlow(SimulatedSite& site, const FaultTarget&)
    {
        site.store.latency = Milliseconds(600);
        site.after(outageDuration, [&site] { site.store.latency = Milliseconds(3); });
    }

    void storeVerySlow(SimulatedSite& site, const FaultTarget&)
    {
        site.store.latency = Milliseconds(1500);
        site.after(outageDuration, [&site] { site.store.latency = Milliseconds(3); });
    }

    void storeRepliesLost(SimulatedSite& site, const FaultTarget&) { site.store.repliesToLose = 3; }

    void swapsCommittedLate(SimulatedSite& site, const FaultTarget&) { site.store.swapsToDelay = 3; }

    void upstreamCrashes(SimulatedSite& site, const FaultTarget&)
    {
        auto id = busyUpstream(site);
        site.crash(id);
        site.after(outageDuration, [&site, id] { site.upstreams[id].down = false; });
    }

    void upstreamStalls(SimulatedSite& site, const FaultTarget&)
    {
        auto id = busyUpstream(site);
        site.upstreams[id].stalled = true;
        site.after(outageDuration, [&site, id] { site.upstreams[id].stalled = false; });
    }

    void responsesCut(SimulatedSite& site, const FaultTarget&)
    {
        for (auto& [id, it] : site.upstreams)
            it.responsesToCut = 1;
    }

    void responsesLate(SimulatedSite& site, const FaultTarget&)
    {
        for (auto& [id, it] : site.upstreams)
            it.extraDelay = Milliseconds(900);
        site.after(outageDuration, [&site] {
            for (auto& [id, it] : site.upstreams)
                it.extraDelay = Milliseconds(0);
        });
    }

    void upstreamsFail(SimulatedSite& site, const FaultTarget&)
    {
        for (auto& [id, it] : site.upstreams)
            it.errorsToReturn = 2;
    }

    void upstreamDrains(SimulatedSite& site, const FaultTarget&)
    {
        auto& it = site.upstreams[busyUpstream(site)];
        it.draining = true;
        it.drainingSince = site.now();
    }

    void entryDrains(SimulatedSite& site, const FaultTarget& target)
    {
        site.drain(target.entry);
        site.after(Milliseconds(12000), [&site, target] { site.restart(target.entry); });
    }

    void versionQualityDrops(SimulatedSite& site, const FaultTarget&) { site.versionQuality[{ "small-1" }] = 0.1; }

    std::string withdrawn(const std::string& version)
    {
        return absl::StrReplaceAll(sampleConfiguration(), { { "  " + version + ": { model: small,", "  " + version + ": { withdrawn: true, model: small," } });
    }

    void versionWithdrawn(SimulatedSite& site, const FaultTarget& target)
    {
        site.edit((target.entry + 1) % 3, withdrawn("small-1"), 1);
    }

    void concurrentEdits(SimulatedSite& site, const FaultTarget& target)
    {
        auto staged = sampleConfiguration() + "rollouts:\n  small: { from: small-1, to: small-2, share: 1 }\n";
        site.edit(target.entry, staged, 1);
        site.edit((target.entry + 1) % 3, withdrawn("small-2"), 1);
        site.edit((target.entry + 2) % 3, staged, 1);
    }

    void storeReverts(SimulatedSite& site, const FaultTarget& target)
    {
        versionWithdrawn(site, target);
        site.after(Milliseconds(2000), [&site] { site.restoreFirstConfiguration(); });
    }

    void halfOfPeerMessagesLost(SimulatedSite& site, const FaultTarget&)
    {
        site.peerLoss = 0.5;
        site.after(outageDuration, [&site] { site.peerLoss = 0; });
    }

    void requestCrashes(SimulatedSite& site, const FaultTarget&)
    {
        for (auto& [id, it] : site.upstreams)
            it.crashOn = "crasher";
        auto request = chatRequest("small", false);
        request.bodyDigest = "crasher";
        for (int n = 0; n < 6; ++n) {
            site.after(Milliseconds(300 * n), [&site, request, n] {
                if (site.alive(static_cast<std::size_t>(n) % 3))
                    site.send(static_cast<std::size_t>(n) % 3, request);
            });
        }
        site.after(outageDuration, [&site] {
            for (auto& [id, it] : site.upstreams)
                it.down = false;
        });
    }

    CallerRequest cascadeChat(int) { return chatRequest("draft", false); }
    CallerRequest streamedChat(int) { return chatRequest("small", true); }
    CallerRequest sessionChat(int) { return chatRequest("small", true, "session-1"); }
    CallerRequest keyedBooking(int seed) { return bookingRequest("key-" + std::to_string(seed), "slot-" + std::to_string(seed)); }
    CallerRequest plainBooking(int seed) { return bookingRequest("", "plain-" + std::to_string(seed)); }

    constexpr int maxRetries = 6;

    // Repeats a booking with the same key at the next entry until it succeeds or its outcome is reported as unknown.
    void retryUntilSettled(SimulatedSite& site, std::size_t caller, int retriesLeft)
    {
        site.after(Milliseconds(700), [&site, caller, retriesLeft] {
            const auto view = site.callers[caller];
            if (!view.endedAt)
                return retryUntilSettled(site, caller, retriesLeft);
            bool settled = view.succeeded() || view.errorKind() == "outcome_unknown";
            if (settled || retriesLeft == 0)
                return;
            auto request = view.request;
            auto entry = (view.entry + 1) % 3;
            retryUntilSettled(site, site.send(entry, request), retriesLeft - 1);
        });
    }

    // Sends requests of other callers, so that the watched request runs under concurrent load.
    void sendBackground(SimulatedSite& site, std::uint64_t seed)
    {
        for (int n = 0; n < 12; ++n) {
            site.after(Milliseconds(37 * n), [&site, n, seed] {
                auto entry = static_cast<std::size_t>(n) % 3;
                if (n % 4 == 0)
                    site.send(entry, bookingRequest("bg-" + std::to_string(n), "bg-slot-" + std::to_string(n)));
                else
                    site.send(entry, chatRequest(n % 4 == 1 ? "draft" : "small", n % 2 == 0, n % 3 == 0 ? "session-1" : ""));
                static_cast<void>(seed);
            });
        }
    }

}

const std::vector<Fault>& faultTable()
{
    static const std::vector<Fault> table {
        { "entry killed, restarted after 3 s", &killEntry },
        { "other entries killed, restarted after 3 s", &killOthers },
        { "entry paused 8 s, then resumed", &pauseEntry },
        { "other entries paused 8 s, then resumed", &pauseOthers },
        { "entry partitioned from its peers", &partitionEntryFromPeers },
        { "entry partitioned from the store", &partitionEntryFromStore },
        { "entry partitioned from peers and store", &partitionEntryFromAll },
        { "store down", &storeDown },
        { "store slow", &storeSlow },
        { "store slower than its timeout", &storeVerySlow },
        { "store replies lost after commit", &storeRepliesLost },
        { "swaps committed late", &swapsCommittedLate },
        { "upstream crashes", &upstreamCrashes },
        { "upstream stalls", &upstreamStalls },
        { "responses cut", &responsesCut },
        { "responses late", &responsesLate },
        { "upstreams fail", &upstreamsFail },
        { "upstream drains", &upstreamDrains },
        { "entry drains", &entryDrains },
        { "version quality drops", &versionQualityDrops },
        { "version withdrawn", &versionWithdrawn },
        { "concurrent edits", &concurrentEdits },
        { "store reverts to an old configuration", &storeReverts },
        { "half of the peer messages lost", &halfOfPeerMessagesLost },
        { "repeated request that crashes upstreams", &requestCrashes },
    };
    return table;
}

const std::vector<RequestKind>& requestKinds()
{
    static const std::vector<RequestKind> table {
        { "chat through a cascade", &cascadeChat },
        { "streamed chat", &streamedChat },
        { "streamed chat of a session", &sessionChat },
        { "booking with a key", &keyedBooking },
        { "booking without a key", &plainBooking },
    };
    return table;
}

ScenarioResult runScenario(const RequestKind& kind, const std::vector<FaultInjection>& injections, std::uint64_t seed, const Mutations& mutations)
{
    ScenarioResult result;
    SimulatedSite::Options options;
    options.seed = seed;
    options.mutations = mutations;
    result.site = std::make_unique<SimulatedSite>(options);
    auto& site = *result.site;
    site.run(Milliseconds(3000));
    sendBackground(site, seed);
    site.run(Milliseconds(200));
    FaultTarget target { static_cast<std::size_t>(seed % 3) };
    auto pending = std::make_shared<std::vector<FaultInjection>>(injections);
    auto request = kind.make(static_cast<int>(seed));
    site.onStep = [&site, target, pending](Step step) {
        auto due = std::partition(pending->begin(), pending->end(), [&](const auto& it) { return it.step != step; });
        std::vector<FaultInjection> triggered(due, pending->end());
        pending->erase(due, pending->end());
        for (const auto& it : triggered)
            faultTable()[it.fault].inject(site, target);
    };
    site.watchNextRequest();
    auto caller = site.send(target.entry, request);
    if (!request.idempotencyKey.empty())
        retryUntilSettled(site, caller, maxRetries);
    site.run(Milliseconds(25000));
    site.onStep = nullptr;
    // Later requests reveal inconsistent state after the fault: sessions, claims, revisions.
    for (std::size_t n = 0; n < 3; ++n) {
        site.restart(n);
        site.after(Milliseconds(500), [&site, n] { site.send(n, chatRequest("small", true, "session-1")); });
        if (!request.idempotencyKey.empty())
            site.after(Milliseconds(900 + 50 * static_cast<int>(n)), [&site, n, request] { site.send(n, request); });
    }
    site.run(Milliseconds(20000));
    result.allInjected = pending->empty();
    return result;
}

}
