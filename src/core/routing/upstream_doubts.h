#pragma once

// Upstreams that turned a request away as misdirected and did not say who they are. Either another upstream has taken over the
// address, or the request asks for something that the upstream does not have. The former is likely only if another upstream accepts
// the same request, so a request that nobody accepts casts no doubt on anyone.
//
// An upstream in doubt is avoided for a while, or until it accepts a request.

#include "core/requests/upstream_response.h"
#include "core/routing/upstream_registry.h"

#include <absl/container/flat_hash_map.h>

namespace skylarkhitch {

// What a response shows of a request that was turned away as misdirected.
enum class Misdirection {
    None,
    // The upstream that was asked cannot serve the request.
    Request,
    // Another upstream has taken over the address.
    Address,
    // Either of them.
    Unknown,
};

Misdirection misdirectionOf(const UpstreamResponse&, const UpstreamId& asked);

class UpstreamDoubts {
public:
    // Time of the first doubt. Each further one lasts twice as long, up to maxTime.
    static constexpr Milliseconds firstTime { 2000 };
    static constexpr Milliseconds maxTime { 30000 };
    // At most this part (1/n) of the upstreams is avoided, but always one, so that the others are not overloaded.
    static constexpr std::size_t avoidedDivisor = 4;

    // The process turned away a request that another upstream accepted. Returns false if it is in doubt already.
    bool record(const std::string& process, TimePoint now);
    // The process accepted a request that was sent at this time.
    void accepted(const std::string& process, TimePoint sentAt);
    bool isDoubted(const std::string& process, TimePoint now) const;
    // Removes the upstreams in doubt, unless they are too many or no other is left that was not tried yet.
    void avoid(std::vector<const UpstreamEntry*>&, const std::vector<UpstreamId>& tried, TimePoint now) const;
    void forget(TimePoint now);
    std::size_t size() const { return m_doubts.size(); }

private:
    struct Doubt {
        TimePoint since {};
        TimePoint until {};
        Milliseconds time { 0 };
    };
    absl::flat_hash_map<std::string, Doubt> m_doubts;
};

}
