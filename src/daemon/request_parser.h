#pragma once

// Checks the form of a caller's HTTP request and reads it into a CallerRequest.

#include "adapters/http_server.h"
#include "core/messages.h"

namespace skylarkhitch {

struct ParsedRequest {
    CallerRequest request;
    // None if the request is well formed.
    ErrorKind error = ErrorKind::None;
    // Names the field that is wrong.
    std::string message;
};

ParsedRequest parseCallerRequest(HttpRequest, CallKind);

// The digest of the bearer key, or empty if there is none.
std::string bearerDigest(const HttpRequest&);

}
