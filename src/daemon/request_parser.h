#pragma once

// Validates a caller's HTTP request and parses it into a CallerRequest.

#include "adapters/http_server.h"
#include "core/messages.h"

namespace skylarkhitch {

struct ParsedRequest {
    CallerRequest request;
    // None if the request is well formed.
    ErrorKind error = ErrorKind::None;
    // Names the invalid field.
    std::string message;
};

ParsedRequest parseCallerRequest(HttpRequest, CallKind);

// Returns the SHA-256 digest of the bearer key in hex, or an empty string if there is none.
std::string bearerDigest(const HttpRequest&);

}
