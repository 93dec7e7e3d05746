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
    std::string method;
    std::string path;
    std::string contentType;
    std::shared_ptr<const std::string> body;
    std::string bodyDigest;
    bool streamed = false;
    std::int64_t maxTokens = 256;
    std::int64_t inputTokens = 0;
    std::string rank;
    std::optional<Milliseconds> deadline;
    SessionId session;
    std::string idempotencyKey;
    // Label for requests of one kind; pass probabilities of models are estimated per task.
    std::string task;
};

// Result of an attempt on an upstream.
enum class AttemptEnd {
    // The complete response was received.
    Completed,
    // No byte of the request was sent to the upstream.
    NotSent,
    // The upstream reported that it did not execute the request.
    RefusedNotRun,
    // The upstream returned an error response.
    UpstreamError,
    // The connection was lost after the request was sent.
    Cut,
    TimedOut,
    // This instance discarded the response before any of it reached the caller.
    Dropped,
};

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
    int status = 200;
    std::string contentType;
    std::string body;
    Usage usage;
    // Build of the version, as reported by the upstream; empty if not reported.
    std::string fingerprint;
    // Set if the upstream reports that it accepts no further requests.
    bool leaving = false;
};

// The rating of a response, from 0 to 1, or the error that prevented it.
struct RatingReceived {
    RequestId request;
    AttemptId attempt;
    std::error_code ec;
    double rating = 0;
};

// A key of the store with its value and the revision that a compare-and-swap must specify.
struct StoreItem {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

// Unavailable covers every result that leaves it unknown whether a compare-and-swap took effect.
enum class StoreStatus { Ok,
    NotFound,
    Conflict,
    Unavailable };

struct StoreReply {
    StoreCallId call;
    StoreStatus status = StoreStatus::Ok;
    // Get and Watch: the item. CompareAndSwap: an item with the new revision. List: all items with the prefix.
    std::vector<StoreItem> items;
};

// Load reported by an upstream; may be outdated.
struct LoadReported {
    UpstreamId upstream;
    // When the load was requested.
    TimePoint askedAt {};
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    bool leaving = false;
    bool reachable = true;
};

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

struct InstancesListed {
    std::vector<ListedInstance> instances;
};

struct PeerMessageReceived {
    PeerEnvelope envelope;
};

// An operator's edit of the configuration; the document holds the complete merged text.
struct EditRequested {
    std::uint64_t ticket = 0;
    ConfigurationDocument document;
    // The revision that the edit is based on.
    Revision base = 0;
};

// The timer requested through Router::nextWake.
struct TimerFired { };

// Starts a graceful shutdown: reject new requests, finish those in flight, then exit.
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
    VersionId version;
    bool streamed = false;
    // Number of tokens already sent to the caller; the engine resumes generation after them.
    std::int64_t resumeAfter = 0;
    // False for calls that must not be sent twice; this also forbids retries by the transport after a reconnect.
    bool isRetryable = true;
    std::int64_t priority = 0;
    Milliseconds timeout {};
};

struct CancelAttempt {
    AttemptId attempt {};
};

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
    Milliseconds retryAfter {};
};

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
    std::uint64_t expected = 0;
    Milliseconds timeout {};
};

struct SendPeerMessage {
    InstanceId to;
    PeerEnvelope envelope;
};

struct RateResponse {
    RequestId request;
    AttemptId attempt {};
    VersionId version;
    std::string task;
    std::string answer;
};

struct EditCompleted {
    std::uint64_t ticket = 0;
    std::error_code ec;
    Revision revision = 0;
    std::string message;
};

// A state change to be logged.
struct StateChanged {
    std::string what;
    std::string subject;
    std::string detail;
};

using Action = std::variant<SendAttempt, CancelAttempt, CallerResponse, CallerStreamStart, CallerStreamData, CallerStreamEnd,
    StoreCall, SendPeerMessage, RateResponse, EditCompleted, StateChanged>;

using Outbox = std::vector<Action>;

}
