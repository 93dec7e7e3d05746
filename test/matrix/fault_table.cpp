#include "matrix/fault_table.h"

#include <absl/strings/str_replace.h>

namespace skylarkhitch {

namespace {

    constexpr Milliseconds outage { 6000 };
    constexpr Milliseconds pause { 8000 };

    // The upstream that last began to run the watched request, or s1 if none has yet.
    UpstreamId busyUpstream(const SimulatedSite& site)
    {
        for (auto it = site.runs.rbegin(); it != site.runs.rend(); ++it) {
            if (it->request == site.watched)
                return it->upstream;
        }
        return { "s1" };
    }

    void killEntry(SimulatedSite& site, const FaultPlace& place)
    {
        site.kill(place.entry);
        site.after(Milliseconds(3000), [&site, place] { site.restart(place.entry); });
    }

    void killOthers(SimulatedSite& site, const FaultPlace& place)
    {
        for (std::size_t n = 1; n < 3; ++n) {
            auto other = (place.entry + n) % 3;
            site.kill(other);
            site.after(Milliseconds(3000), [&site, other] { site.restart(other); });
        }
    }

    void freezeEntry(SimulatedSite& site, const FaultPlace& place)
    {
        site.freeze(place.entry);
        site.after(pause, [&site, place] { site.thaw(place.entry); });
    }

    // If one of the paused entries writes the shard of the record, it still considers itself the writer when it resumes.
    void freezeOthers(SimulatedSite& site, const FaultPlace& place)
    {
        for (std::size_t n = 1; n < 3; ++n) {
            auto other = (place.entry + n) % 3;
            site.freeze(other);
            site.after(pause, [&site, other] { site.thaw(other); });
        }
    }

    void cutEntryFromPeers(SimulatedSite& site, const FaultPlace& place)
    {
        for (std::size_t n = 1; n < 3; ++n) {
            auto other = (place.entry + n) % 3;
            site.cutPeers(place.entry, other, true);
            site.after(outage, [&site, place, other] { site.cutPeers(place.entry, other, false); });
        }
    }

    void cutEntryFromStore(SimulatedSite& site, const FaultPlace& place)
    {
        site.cutStore(place.entry, true);
        site.after(outage, [&site, place] { site.cutStore(place.entry, false); });
    }

    void cutEntryFromAll(SimulatedSite& site, const FaultPlace& place)
    {
        cutEntryFromPeers(site, place);
        cutEntryFromStore(site, place);
    }

    void storeDown(SimulatedSite& site, const FaultPlace&)
    {
        site.store.down = true;
        site.after(outage, [&site] { site.store.down = false; });
    }

    void storeSlow(SimulatedSite& site, const FaultPlace&)
    {
        site.store.latency = Milliseconds(600);
        site.after(outage, [&site] { site.store.latency = Milliseconds(3); });
    }

    void storeVerySlow(SimulatedSite& site, const FaultPlace&)
    {
        site.store.latency = Milliseconds(1500);
        site.after(outage, [&site] { site.store.latency = Milliseconds(3); });
    }

    void repliesLost(SimulatedSite& site, const FaultPlace&) { site.store.repliesLost = 3; }

    void swapsLate(SimulatedSite& site, const FaultPlace&) { site.store.swapsLate = 3; }

    void upstreamCrashes(SimulatedSite& site, const FaultPlace&)
    {
        auto id = busyUpstream(site);
        site.crash(id);
        site.after(outage, [&site, id] { site.upstreams[id].down = false; });
    }

    void upstreamStalls(SimulatedSite& site, const FaultPlace&)
    {
        auto id = busyUpstream(site);
        site.upstreams[id].stalled = true;
        site.after(outage, [&site, id] { site.upstreams[id].stalled = false; });
    }

    void answersCut(SimulatedSite& site, const FaultPlace&)
    {
        for (auto& [id, it] : site.upstreams)
            it.cutNext = 1;
    }

    void answersLate(SimulatedSite& site, const FaultPlace&)
    {
        for (auto& [id, it] : site.upstreams)
            it.extraDelay = Milliseconds(900);
        site.after(outage, [&site] {
            for (auto& [id, it] : site.upstreams)
                it.extraDelay = Milliseconds(0);
        });
    }

    void upstreamsFail(SimulatedSite& site, const FaultPlace&)
    {
        for (auto& [id, it] : site.upstreams)
            it.errorsNext = 2;
    }

    void upstreamDrains(SimulatedSite& site, const FaultPlace&)
    {
        auto& it = site.upstreams[busyUpstream(site)];
        it.draining = true;
        it.drainingSince = site.now();
    }

    void entryDrains(SimulatedSite& site, const FaultPlace& place)
    {
        site.drain(place.entry);
        site.after(Milliseconds(12000), [&site, place] { site.restart(place.entry); });
    }

    void badPatch(SimulatedSite& site, const FaultPlace&) { site.versionQuality[{ "small-1" }] = 0.1; }

    std::string withdrawn(const std::string& version)
    {
        return absl::StrReplaceAll(sampleConfiguration(), { { "  " + version + ": { model: small,", "  " + version + ": { withdrawn: true, model: small," } });
    }

    void versionWithdrawn(SimulatedSite& site, const FaultPlace& place)
    {
        site.edit((place.entry + 1) % 3, withdrawn("small-1"), 1);
    }

    void operatorsRace(SimulatedSite& site, const FaultPlace& place)
    {
        auto staged = sampleConfiguration() + "rollouts:\n  small: { from: small-1, to: small-2, share: 1 }\n";
        site.edit(place.entry, staged, 1);
        site.edit((place.entry + 1) % 3, withdrawn("small-2"), 1);
        site.edit((place.entry + 2) % 3, staged, 1);
    }

    void storeReverts(SimulatedSite& site, const FaultPlace& place)
    {
        versionWithdrawn(site, place);
        site.after(Milliseconds(2000), [&site] { site.revertStore(); });
    }

    void halfOfHeartbeatsLost(SimulatedSite& site, const FaultPlace&)
    {
        site.peerLoss = 0.5;
        site.after(outage, [&site] { site.peerLoss = 0; });
    }

    void requestCrashes(SimulatedSite& site, const FaultPlace&)
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
        site.after(outage, [&site] {
            for (auto& [id, it] : site.upstreams)
                it.down = false;
        });
    }

    CallerRequest wholeChat(int) { return chatRequest("draft", false); }
    CallerRequest streamedChat(int) { return chatRequest("small", true); }
    CallerRequest sessionChat(int) { return chatRequest("small", true, "session-1"); }
    CallerRequest keyedBooking(int seed) { return bookingRequest("key-" + std::to_string(seed), "slot-" + std::to_string(seed)); }
    CallerRequest plainBooking(int seed) { return bookingRequest("", "plain-" + std::to_string(seed)); }

    constexpr int resends = 6;

    // Repeats a booking with the same key at the next entry until it succeeds or its outcome is reported as unknown.
    void resendUntilAnswered(SimulatedSite& site, std::size_t caller, int left)
    {
        site.after(Milliseconds(700), [&site, caller, left] {
            const auto view = site.callers[caller];
            if (!view.endedAt)
                return resendUntilAnswered(site, caller, left);
            bool settled = view.succeeded() || view.errorKind() == "outcome_unknown";
            if (settled || left == 0)
                return;
            auto request = view.request;
            auto entry = (view.entry + 1) % 3;
            resendUntilAnswered(site, site.send(entry, request), left - 1);
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
        { "entry killed, back after 3 s", &killEntry },
        { "other entries killed", &killOthers },
        { "entry paused 8 s, then resumed", &freezeEntry },
        { "other entries paused 8 s, then resumed", &freezeOthers },
        { "entry partitioned from its peers", &cutEntryFromPeers },
        { "entry partitioned from the store", &cutEntryFromStore },
        { "entry partitioned from peers and store", &cutEntryFromAll },
        { "store down", &storeDown },
        { "store slow", &storeSlow },
        { "store slower than its timeout", &storeVerySlow },
        { "store replies lost after commit", &repliesLost },
        { "swaps committed late", &swapsLate },
        { "upstream crashes", &upstreamCrashes },
        { "upstream stalls", &upstreamStalls },
        { "responses cut", &answersCut },
        { "responses late", &answersLate },
        { "upstreams fail", &upstreamsFail },
        { "upstream drains", &upstreamDrains },
        { "entry drains", &entryDrains },
        { "version quality drops", &badPatch },
        { "version withdrawn", &versionWithdrawn },
        { "concurrent edits", &operatorsRace },
        { "store reverts to an old configuration", &storeReverts },
        { "half of the heartbeats lost", &halfOfHeartbeatsLost },
        { "repeated request that crashes upstreams", &requestCrashes },
    };
    return table;
}

const std::vector<RequestKind>& requestTable()
{
    static const std::vector<RequestKind> table {
        { "chat through a cascade", &wholeChat },
        { "streamed chat", &streamedChat },
        { "streamed chat of a session", &sessionChat },
        { "booking with a key", &keyedBooking },
        { "booking without a key", &plainBooking },
    };
    return table;
}

RunResult runSite(const RequestKind& kind, const std::vector<Strike>& strikes, std::uint64_t seed, const Mutations& mutations)
{
    RunResult result;
    SimulatedSite::Options options;
    options.seed = seed;
    options.mutations = mutations;
    result.site = std::make_unique<SimulatedSite>(options);
    auto& site = *result.site;
    site.run(Milliseconds(3000));
    sendBackground(site, seed);
    site.run(Milliseconds(200));
    FaultPlace place { static_cast<std::size_t>(seed % 3) };
    auto pending = std::make_shared<std::vector<Strike>>(strikes);
    auto request = kind.make(static_cast<int>(seed));
    site.onStep = [&site, place, pending](Step step) {
        auto due = std::partition(pending->begin(), pending->end(), [&](const auto& it) { return it.step != step; });
        std::vector<Strike> striking(due, pending->end());
        pending->erase(due, pending->end());
        for (const auto& it : striking)
            faultTable()[it.fault].strike(site, place);
    };
    site.watchNext();
    auto caller = site.send(place.entry, request);
    if (!request.idempotencyKey.empty())
        resendUntilAnswered(site, caller, resends);
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
    result.struck = pending->empty();
    return result;
}

}
