#pragma once

// The closed set of error kinds, and the single table that maps each kind to the response sent to the caller. Whether a
// request was executed is not part of the table: it depends on the attempts that were sent (see ExecutionTracker).

#include "core/ids.h"

#include <string_view>
#include <system_error>

namespace skylarkhitch {

enum class ErrorKind {
    None,
    // The request, or an edit of the configuration, is malformed or holds an invalid value.
    MalformedRequest,
    RequestTooLarge,
    // The API key belongs to no team.
    UnknownKey,
    // No model, cascade, service or route matches the request.
    UnknownTarget,
    // The team may not use the target or the rank.
    NotAllowed,
    // A header field is missing or invalid.
    BadHeader,
    NoSuchPath,
    // The queue is full, or an upstream refused the request without executing it.
    Overloaded,
    // No slot became free, or is expected to become free, in time to meet the deadline.
    DeadlineUnreachable,
    // The deadline passed before the response was complete.
    DeadlineExceeded,
    NoHealthyUpstream,
    // The upstream returned a 4xx response to a chat request.
    UpstreamRejected,
    // The attempts on upstreams failed, and no further attempt is permitted.
    UpstreamFailed,
    // The stream was interrupted after part of it was sent to the caller, and cannot be resumed.
    StreamCut,
    // A record or configuration could not be written to the store in time.
    StoreUnavailable,
    // The idempotency key was already used with a different request.
    IdempotencyKeyReused,
    // Not reported by any code.
    IdempotencyKeyExpired,
    // An earlier call with the same idempotency key has not finished.
    CallInFlight,
    // A non-idempotent call was sent, but it is unknown whether it was executed.
    OutcomeUnknown,
    InstanceDraining,
    // This instance can reach neither the store nor at least half of its peers.
    InstanceCutOff,
    // Upstreams crashed while running this request, so it is refused. Reported by the core for chat requests.
    RequestCrashesUpstreams,
    // The counterpart of RequestCrashesUpstreams in the edge.
    RequestQuarantined,
    // Upstreams crashed on a part of the prompt, so that it is refused.
    PromptPartQuarantined,
    // A part of the prompt may have crashed upstreams. That is being found out with another request.
    PromptPartSuspected,
    // The request limits that the upstreams state leave no room for the request.
    UpstreamLimitReached,
    // All upstreams for the request want nothing for a while.
    UpstreamsPaused,
    // This instance has no memory or no descriptors left for the request.
    InstanceExhausted,
    // No upstream that was asked has what the request asks for.
    MisdirectedRequest,
    // An edit of the configuration is not based on the current revision.
    EditConflict,
    // No configuration is known yet.
    NotConfigured,
    Internal,
};

// How an error is reported to a caller.
struct ErrorInfo {
    ErrorKind kind;
    // Stable machine-readable name, e.g. "deadline_unreachable".
    std::string_view name;
    int httpStatus;
    // Delay after which a retry may succeed; zero if retrying the same request cannot succeed.
    Milliseconds retryAfter;
};

// Returns the table entry for a kind. Every kind has one.
const ErrorInfo& errorInfo(ErrorKind);

// The error category "skylarkhitch"; its values are those of ErrorKind.
const std::error_category& errorCategory();

// Found by std::error_code through argument-dependent lookup. NOLINTNEXTLINE(readability-identifier-naming)
std::error_code make_error_code(ErrorKind);

// The kind held by an error code: None if it holds no error, Internal if the error is of another category.
ErrorKind kindOf(const std::error_code&);

}

template <>
struct std::is_error_code_enum<skylarkhitch::ErrorKind> : std::true_type {
};
