#pragma once

// One request of a caller on a declared route, decoded from the wire.

#include "core/ids.h"
#include "core/requests/header_field.h"

#include <memory>
#include <optional>

namespace skylarkhitch {

// A part of a prompt that other requests may share; parts of equal identity have equal text.
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;
};

struct RoutedRequest {
    RequestId id;
    std::string method;
    // Path and query byte for byte as the caller wrote them.
    std::string target;
    // Host without its port, in lower case.
    std::string host;
    std::string key;
    std::string session;
    // How long the caller waits from the moment it sent the request; nothing if it does not say.
    std::optional<Milliseconds> patience;
    // The caller has the events up to this one.
    std::optional<std::int64_t> lastEvent;
    // The router picks one of the route's models.
    bool anyModel = false;
    std::int64_t promptTokens = 0;
    std::int64_t mostAnswerTokens = 0;
    // In the order of the prompt; the last one belongs to the request or its session alone.
    std::vector<PromptPart> promptParts;
    // Fields that go to the upstream as they came.
    HeaderFields passedOn;
    std::shared_ptr<const std::string> body;
};

// The path without the query.
inline std::string_view pathOf(const RoutedRequest& request)
{
    return std::string_view(request.target).substr(0, request.target.find('?'));
}

}
