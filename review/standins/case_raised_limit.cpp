// A configuration raises the limit of bodies. Channels that were idle meanwhile still refuse what only the earlier one refused.
//
// case_raised_limit RECORD

#include "site.h"

#include <absl/strings/str_cat.h>
#include <csignal>

using namespace review;
using skylarkhitch::standin::FleetStore;
using skylarkhitch::standin::ScriptedUpstream;

namespace {

constexpr std::int64_t lowLimit = 65536, highLimit = 4194304;
constexpr int callers = 20;
// In force on each instance this long after its confirmation; the callers wait twice as long.
constexpr auto configurationLimit = 2000ms;

std::string configuration(std::int64_t version, std::int64_t maxBodyBytes)
{
    nlohmann::json route { { "name", "booking" }, { "hostname", "a.example" }, { "prefix", "/booking/" }, { "routeType", "non_idempotent" }, { "backend", "orders" }, { "maxAttempts", 1 }, { "timeoutMs", 1500 }, { "targetLatencyMs", 150 }, { "priority", 2 } };
    return nlohmann::json { { "version", version }, { "routes", { route } }, { "backends", { { { "name", "orders" }, { "healthPath", "/healthz" }, { "maxConnections", 110 } } } },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", maxBodyBytes }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", { { { "name", "design" }, { "apiKeys", { "key-1" } } } } } }
        .dump();
}

// Sends a booking and returns the status of its answer.
int book(Client& client, const std::string& id, std::size_t bytes)
{
    client.send(requestBytes("POST", "/booking/slots", id, "", std::string(bytes, 'x'), 1500ms));
    auto answer = client.read(3s);
    record(absl::StrCat("client: ", id, " with a body of ", bytes, " bytes got status ", answer.status));
    return answer.status;
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2)
        return notRun;
    openRecord(argv[1]);
    FleetStore store;
    store.put("op/config", configuration(3, hasTrouble() ? lowLimit : highLimit));
    ScriptedUpstream first("w-0", skylarkhitch::standin::respondWith("booked")), second("w-1", skylarkhitch::standin::respondWith("booked"));
    for (auto* it : { &first, &second })
        store.put("servers/" + it->id(), registration("orders", it->port(), 1));
    Entry entry("edge-halle-a-1", "halle-a", store.address(), freePorts(5), {});
    entry.start();
    if (!waitUntil(5s, [&] { return entry.isReady(); })) {
        record("an instance is not ready");
        return notRun;
    }
    std::list<Client> clients;
    int requests = 0;
    for (int n = 0; n < callers; ++n, ++requests) {
        if (book(clients.emplace_back(entry.port()), absl::StrCat("short-", n), 600) != 200)
            return notRun;
    }
    if (hasTrouble()) {
        store.put("op/config", configuration(8, highLimit));
        record(absl::StrCat("operator: version 8 raises maxBodyBytes from ", lowLimit, " to ", highLimit, "; the store has confirmed it"));
    }
    std::this_thread::sleep_for(2 * configurationLimit);
    Client other(entry.port());
    ++requests;
    if (book(other, "long-on-a-new-channel", 3 * lowLimit) != 200) {
        record("the new limit is not in force on a new channel");
        return notRun;
    }
    int denied = 0, served = 0, number = 0;
    for (auto& it : clients) {
        auto status = book(it, absl::StrCat("long-", number++), 3 * lowLimit);
        ++requests;
        denied += status >= 400 && status < 500 && status != 408 && status != 421 && status != 429 ? 1 : 0;
        served += status == 200 ? 1 : 0;
    }
    auto bound = 5 + requests / 500.0;
    record(absl::StrCat("proper requests that were refused with a 4xx: ", denied, " of ", requests, ", served of the long ones on kept channels: ", served, " of ", callers, "; DENIED is broken above ", bound));
    return denied > bound ? broken : held;
}
