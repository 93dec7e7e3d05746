#include "core/requests/admit_request.h"

#include "core/hashing.h"

#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    // Time limit for requests that do not specify one.
    constexpr Milliseconds defaultCallerTimeout { 10000 };

    std::string fingerprintOf(const RoutedRequest& request)
    {
        return absl::StrCat(absl::Hex(hashOf(request.key, request.target) ^ hashOf(request.method, *request.body)));
    }

    ErrorKind findTeam(AdmittedRequest& admitted)
    {
        const auto* keyOwner = admitted.configuration->findKeyOwner(admitted.request.key);
        if (!keyOwner)
            return admitted.configuration->hasTeams && !admitted.route->anonymous ? ErrorKind::UnknownKey : ErrorKind::None;
        admitted.team = keyOwner->team;
        admitted.rank = keyOwner->rank.value_or(admitted.rank);
        return ErrorKind::None;
    }

}

ErrorKind admitRequest(AdmittedRequest& admitted, TimePoint receivedAt)
{
    const auto& request = admitted.request;
    admitted.deadline = receivedAt + request.callerTimeout.value_or(defaultCallerTimeout);
    if (!admitted.configuration)
        return ErrorKind::NotConfigured;
    admitted.route = admitted.configuration->findRoute(request.host, pathOf(request));
    if (!admitted.route)
        return ErrorKind::UnknownTarget;
    admitted.rank = admitted.route->rank;
    admitted.deadline = std::min(admitted.deadline, receivedAt + admitted.route->timeout);
    if (auto error = findTeam(admitted); error != ErrorKind::None)
        return error;
    if (request.id.empty())
        return ErrorKind::BadHeader;
    admitted.fingerprint = fingerprintOf(request);
    const auto* service = chooseService(*admitted.route, request.session.empty() ? request.id.value : request.session);
    admitted.service = service ? admitted.configuration->findService(*service) : nullptr;
    return admitted.service ? ErrorKind::None : ErrorKind::NoHealthyUpstream;
}

}
