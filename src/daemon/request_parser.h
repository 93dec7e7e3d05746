#pragma once

// Validates a caller's HTTP request and parses it into a CallerRequest.

#include "adapters/http_server.h"
#include "core/messages.h"

namespace skylarkhitch {

struct ParsedRequest {
    CallerRequest request;
    // None if the request is well formed.
    ErrorKind error = ErrorKind::None;
    // What is wrong with the request, with the name of the invalid field or header.
    std::string message;
};

// Fills in all fields but the id, which the caller of this function assigns. Of several errors, one is reported.
ParsedRequest parseCallerRequest(HttpRequest, CallKind);

// Returns the SHA-256 digest of the bearer key in hex, or an empty string if there is none.
std::string bearerDigest(const HttpRequest&);

}
