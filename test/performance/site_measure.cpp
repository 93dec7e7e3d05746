// Measures the communication between instances in virtual time: store calls, commit latency, propagation of a configuration
// and bytes of peer messages. Prints one line for each measurement.

#include "fakes/simulated_site.h"

#include <absl/strings/str_replace.h>
#include <algorithm>
#include <cstdio>

using namespace skylarkhitch;

namespace {

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

void measureStoreCalls(std::size_t entries, int requestsPerSecond)
{
    // Upstreams have enough slots, so that requests wait for the ledger only.
    auto configuration = absl::StrReplaceAll(sampleConfiguration(), { { "version: small-1 }", "version: small-1, slots: 1000 }" }, { "service: orders }", "service: orders, slots: 1000 }" } });
    SimulatedSite site({ .entries = entries, .seed = 1, .configuration = configuration });
    site.run(Milliseconds(5000));
    auto calls = site.store.calls;
    auto swaps = site.store.swaps;
    auto messages = site.peerMessages;
    auto bytes = site.peerBytes;
    constexpr int seconds = 10;
    int total = requestsPerSecond * seconds;
    for (int n = 0; n < total; ++n) {
        site.after(Milliseconds(1000LL * n / requestsPerSecond), [&site, n, entries] {
            auto entry = static_cast<std::size_t>(n) % entries;
            // Nine chats for each booking with an idempotency key.
            site.send(entry, n % 10 == 0 ? bookingRequest("k" + std::to_string(n), "b" + std::to_string(n)) : chatRequest("small", false));
        });
    }
    site.run(Milliseconds(1000LL * seconds));
    auto ratePerSecond = [&](std::uint64_t from, std::uint64_t to) { return static_cast<double>(to - from) / seconds; };
    std::printf("entries %2zu, %4d requests/s: store calls %6.1f/s, successful compare-and-swaps %6.1f/s, peer messages %7.1f/s per entry, %6.2f KB/s per entry\n",
        entries, requestsPerSecond, ratePerSecond(calls, site.store.calls), ratePerSecond(swaps, site.store.swaps),
        ratePerSecond(messages, site.peerMessages) / static_cast<double>(entries), ratePerSecond(bytes, site.peerBytes) / static_cast<double>(entries) / 1024);
    site.run(Milliseconds(3000));
    std::vector<double> billCommitMs;
    std::vector<double> bookingCommitMs;
    for (const auto& it : site.callers) {
        if (!it.endedAt || !it.succeeded())
            continue;
        auto ms = std::chrono::duration<double, std::milli>(*it.endedAt - it.sentAt).count();
        // Subtracts the response time without the ledger: 92 ms for a chat with this engine, 7 ms for a call.
        if (it.request.kind == CallKind::Chat)
            billCommitMs.push_back(ms - 92);
        else
            bookingCommitMs.push_back(ms - 7);
    }
    if (requestsPerSecond > 1)
        std::printf("    bill commit p50 %.1f ms, p99 %.1f ms; claim and outcome commits in total p50 %.1f ms, p99 %.1f ms; %zu of %d requests succeeded\n",
            percentile(billCommitMs, 0.5), percentile(billCommitMs, 0.99), percentile(bookingCommitMs, 0.5), percentile(bookingCommitMs, 0.99), billCommitMs.size() + bookingCommitMs.size(), total);
}

void measurePropagation(std::size_t entries, bool storeFailsAfterSwap)
{
    std::vector<double> propagationSeconds;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SimulatedSite site({ .entries = entries, .seed = seed });
        site.run(Milliseconds(5000));
        auto begin = site.now();
        auto text = sampleConfiguration();
        site.edit(seed % entries, text + "rollouts:\n  small: { from: small-1, to: small-2, share: 0.5 }\n", 1);
        if (storeFailsAfterSwap)
            site.after(Milliseconds(6), [&] { site.store.down = true; });
        site.run(Milliseconds(20000));
        double lastSeconds = 0;
        std::size_t reachedEntries = 0;
        for (const auto& it : site.appliedRevisions) {
            if (it.revision != 2)
                continue;
            ++reachedEntries;
            lastSeconds = std::max(lastSeconds, std::chrono::duration<double>(it.at - begin).count());
        }
        if (reachedEntries == entries)
            propagationSeconds.push_back(lastSeconds);
    }
    std::printf("entries %2zu, configuration applied on all instances%s: median %.3f s, maximum %.3f s, in %zu of 10 runs\n", entries,
        storeFailsAfterSwap ? " with the store down after the swap" : "", percentile(propagationSeconds, 0.5), percentile(propagationSeconds, 1), propagationSeconds.size());
}

}

int main()
{
    for (std::size_t entries : { 8, 16, 24 })
        measureStoreCalls(entries, 1);
    for (std::size_t entries : { 8, 24 })
        measureStoreCalls(entries, 1000);
    for (std::size_t entries : { 8, 24 }) {
        measurePropagation(entries, false);
        measurePropagation(entries, true);
    }
    return 0;
}
