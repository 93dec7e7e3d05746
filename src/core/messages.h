#pragma once

// Input events and output actions of the core. Router::handle takes one Event with its timestamp and appends Actions to
// an Outbox; adapters execute the actions. The core is deterministic: the same events and seed produce the same actions.

#include "core/configuration/configuration.h"
#include "core/error_kind.h"
#include "core/ledger/ledger_record.h"
#include "core/membership/peer_message.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace skylarkhitch {

// Chat requests run on a model engine; service calls are forwarded to a service.
enum class CallKind { Chat,
    Service };

// A caller's request, parsed and validated by the caller API.
struct CallerRequest {
    RequestId id;
    CallKind kind = CallKind::Chat;
    // SHA-256 of the bearer key, in hexadecimal.
    std::string keyDigest;
    // Name of a model or cascade for chat requests, of a service otherwise.
    std::string target;
    // Method, path (with the query) and content type are set for service calls only.
    std::string method;
    std::string path;
    std::string contentType;
    std::shared_ptr<const std::string> body;
    // SHA-256 of the body as received, in hexadecimal; for service calls, of the method and path as well.
    std::string bodyDigest;
    // Whether the caller asked for a streamed response.
    bool streamed = false;
    // Maximum number of tokens to generate.
    std::int64_t maxTokens = 256;
    // Number of prompt tokens, estimated from the size of the body.
    std::int64_t inputTokens = 0;
    // Name of the requested rank; empty if the caller named none.
    std::string rank;
    // Time limit, counted from the arrival of the request; the rank's time limit applies if not set.
    std::optional<Milliseconds> deadline;
    // Empty if the request belongs to no session.
    SessionId session;
    // Empty if the caller sent none.
    std::string idempotencyKey;
    // The caller's label for the kind of work. The probability that a response meets the quality target is estimated
    // separately for each task.
    std::string task;
};

// Result of an attempt on an upstream.
enum class AttemptEnd {
    // The complete response was received. The status of a service call may be 4xx.
    Completed,
    // No byte of the request was sent to the upstream.
    NotSent,
    // The upstream reported that it did not execute the request.
    RefusedNotRun,
    // The upstream returned an error response: 5xx, or for chat requests also 4xx.
    UpstreamError,
    // The connection was lost before the response was complete, although at least part of the request was sent.
    Cut,
    TimedOut,
    // This instance discarded the response, or the rest of it, since another attempt serves the request.
    Dropped,
    // The upstream sent bytes that are not a response to the request, or a response that is longer than allowed. Unlike after
    // Cut, the upstream is known to be alive.
    Malformed,
};

// Token counts of a response.
struct Usage {
    std::int64_t inputTokens = 0;
    std::int64_t outputTokens = 0;
};

// Events.

struct RequestReceived {
    CallerRequest request;
};

struct CallerDisconnected {
    RequestId request;
};

// A chunk of a streamed response: the payload of one server-sent event.
struct AttemptChunk {
    AttemptId attempt;
    std::string payload;
    // Number of generated tokens in this chunk.
    std::int64_t tokens = 0;
};

struct AttemptFinished {
    AttemptId attempt;
    AttemptEnd end = AttemptEnd::Completed;
    // HTTP status of the response, if one was received.
    int status = 200;
    std::string contentType;
    std::string body;
    Usage usage;
    // Identifies the build that the upstream runs, as reported by the upstream; empty if not reported. Unrelated to the
    // fingerprints of requests.
    std::string reportedBuild;
    // Set if the upstream reports that it accepts no further requests.
    bool leaving = false;
};

// Reply to RateResponse: the rating from 0 to 1, or the error that prevented it.
struct RatingReceived {
    RequestId request;
    AttemptId attempt;
    std::error_code ec;
    double rating = 0;
};

// A key of the store with its value and its revision, which a compare-and-swap must specify. The revision of a key is
// assigned by the store and unrelated to the configuration revision.
struct StoreItem {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

// Conflict: the key did not have the expected revision. Unavailable: there was no definite reply, so a compare-and-swap
// may have taken effect.
enum class StoreStatus { Ok,
    NotFound,
    Conflict,
    Unavailable };

struct StoreReply {
    StoreCallId call;
    StoreStatus status = StoreStatus::Ok;
    // Get and Watch: the item. CompareAndSwap: an item with the key and its new revision. List: all items with the prefix.
    std::vector<StoreItem> items;
};

// Result of polling an upstream for its load; may be outdated on arrival.
struct LoadReported {
    UpstreamId upstream;
    // When the load was requested.
    TimePoint askedAt {};
    // Numbers of requests that the upstream runs and queues.
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    // Whether the upstream accepts no further requests.
    bool leaving = false;
    // False if the upstream did not reply; its load is then not set.
    bool reachable = true;
};

// Entry: an instance of this router, which accepts callers.
enum class InstanceRole { Entry,
    Upstream };

// An entry of the platform's instance list.
struct ListedInstance {
    std::string id;
    InstanceRole role = InstanceRole::Upstream;
    // Address for callers.
    std::string address;
    bool leaving = false;
};

// The complete current list of the platform.
struct InstancesListed {
    std::vector<ListedInstance> instances;
};

struct PeerMessageReceived {
    PeerEnvelope envelope;
};

// An operator's edit of the configuration; the document holds the complete new text, not a difference.
struct EditRequested {
    // Returned in EditCompleted; 0 if no reply is awaited.
    std::uint64_t ticket = 0;
    ConfigurationDocument document;
    // The revision that the edit is based on.
    Revision base = 0;
};

// The timer requested through Router::nextWake.
struct TimerFired { };

// Starts a graceful shutdown: new requests are accepted for RouterSettings::drainGrace and rejected afterwards. The process
// exits when Router::drained() returns true.
struct DrainRequested { };

using Event = std::variant<RequestReceived, CallerDisconnected, AttemptChunk, AttemptFinished, RatingReceived, StoreReply, LoadReported,
    InstancesListed, PeerMessageReceived, EditRequested, TimerFired, DrainRequested>;

// Actions.

struct SendAttempt {
    AttemptId attempt {};
    RequestId request;
    CallKind kind = CallKind::Chat;
    UpstreamId upstream;
    std::string address;
    std::string method;
    std::string path;
    std::string contentType;
    std::shared_ptr<const std::string> body;
    // The version to run; empty for service calls.
    VersionId version;
    bool streamed = false;
    // Number of tokens already sent to the caller; the upstream resumes generation after them.
    std::int64_t resumeAfter = 0;
    // False for calls that must not be executed twice. The adapter sends these on a new connection: if a reused one turned
    // out to be closed, it would be unknown whether the call ran. The transport never resends an attempt by itself.
    bool isRetryable = true;
    // Order of the rank; 0 is the most urgent.
    std::int64_t priority = 0;
    Milliseconds timeout {};
};

struct CancelAttempt {
    AttemptId attempt {};
};

// Whether any upstream executed a request.
enum class Executed { No,
    Yes,
    Unknown };

// Status and metadata of a response to a caller.
struct CallerResponseHead {
    int status = 200;
    std::string contentType = "application/json";
    std::string model;
    std::string version;
    CostMicros cost = 0;
    Executed ran = Executed::Yes;
    // Delay after which a retry may succeed; zero if not reported.
    Milliseconds retryAfter {};
};

// A complete, non-streamed response.
struct CallerResponse {
    RequestId request;
    CallerResponseHead head;
    std::string body;
};

// Starts a streamed response.
struct CallerStreamStart {
    RequestId request;
    CallerResponseHead head;
};

// Continues a streamed response; the payload is that of one server-sent event.
struct CallerStreamData {
    RequestId request;
    std::string payload;
};

// Ends a streamed response; the payload is its last event.
struct CallerStreamEnd {
    RequestId request;
    std::string payload;
};

enum class StoreOperation { Get,
    List,
    // Compare-and-swap: writes only if the key has the expected revision; 0 means that the key must not exist.
    CompareAndSwap,
    Remove,
    // Returns when the key has a newer revision than the expected one, or after the timeout.
    Watch };

struct StoreCall {
    StoreCallId call {};
    StoreOperation operation = StoreOperation::Get;
    std::string key;
    std::string value;
    // Expected revision of the key, for CompareAndSwap and Watch.
    std::uint64_t expected = 0;
    Milliseconds timeout {};
};

struct SendPeerMessage {
    InstanceId to;
    PeerEnvelope envelope;
};

// Asks the rating service to rate a response. The result arrives as RatingReceived.
struct RateResponse {
    RequestId request;
    AttemptId attempt {};
    VersionId version;
    std::string task;
    // The body, or the payloads of the stream, one to a line.
    std::string answer;
};

// Result of the EditRequested event with the same ticket.
struct EditCompleted {
    std::uint64_t ticket = 0;
    std::error_code ec;
    // The revision of the edit, or the current one if the edit failed.
    Revision revision = 0;
    std::string message;
};

// A state change to be logged.
struct StateChanged {
    // Kind of object, e.g. "upstream".
    std::string what;
    // Id of the object.
    std::string subject;
    // The new state, e.g. "ejected".
    std::string detail;
};

using Action = std::variant<SendAttempt, CancelAttempt, CallerResponse, CallerStreamStart, CallerStreamData, CallerStreamEnd,
    StoreCall, SendPeerMessage, RateResponse, EditCompleted, StateChanged>;

using Outbox = std::vector<Action>;

}
