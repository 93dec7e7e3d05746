#pragma once

// What goes into the core and what comes out of it. Router::handle takes one Event and its time and appends Actions
// to an Outbox; adapters carry the actions out. The same events with the same seed give the same actions.

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

// A caller's request after the caller's interface has checked its form.
struct CallerRequest {
    RequestId id;
    CallKind kind = CallKind::Chat;
    // Hexadecimal SHA-256 of the bearer key.
    std::string keyDigest;
    // A model or cascade for chat, a service otherwise.
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
    // Groups requests of one purpose, for learning which model suffices.
    std::string task;
};

// How an attempt on an upstream ended.
enum class AttemptEnd {
    // The whole answer is there.
    Completed,
    // No byte of the request left for the upstream.
    NotSent,
    // The upstream said that it did not run the request.
    RefusedNotRun,
    // The upstream answered with an error.
    UpstreamError,
    // The connection broke after the request was sent.
    Cut,
    TimedOut,
    // This instance dropped the answer while its caller had none of it.
    Dropped,
};

struct Usage {
    std::int64_t inputTokens = 0;
    std::int64_t outputTokens = 0;
};

// Events.

struct RequestArrived {
    CallerRequest request;
};

struct CallerLeft {
    RequestId request;
};

// A piece of a streamed answer: the payload of one server-sent event.
struct AttemptPiece {
    AttemptId attempt;
    std::string payload;
    // Generated tokens in this piece.
    std::int64_t tokens = 0;
};

struct AttemptFinished {
    AttemptId attempt;
    AttemptEnd end = AttemptEnd::Completed;
    int status = 200;
    std::string contentType;
    std::string body;
    Usage usage;
    // Build of the version as the upstream names it; empty if it does not.
    std::string fingerprint;
    // Set when the upstream says that it takes no more work.
    bool leaving = false;
};

// An answer's rating from 0 to 1, or why there is none.
struct RatingArrived {
    RequestId request;
    AttemptId attempt;
    std::error_code ec;
    double rating = 0;
};

// One key of the store with the revision that a swap has to name.
struct StoreItem {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

// Unavailable covers every reply that leaves open whether a swap took effect.
enum class StoreStatus { Ok,
    NotFound,
    Conflict,
    Unavailable };

struct StoreReply {
    StoreCallId call;
    StoreStatus status = StoreStatus::Ok;
    // One item for a get or watch, the revision after a swap, all items below a prefix for a list.
    std::vector<StoreItem> items;
};

// What an upstream says of itself; it may be late.
struct LoadReported {
    UpstreamId upstream;
    // When the upstream was asked.
    TimePoint askedAt {};
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    bool leaving = false;
    bool reachable = true;
};

enum class InstanceRole { Entry,
    Upstream };

// One line of the platform's instance list.
struct ListedInstance {
    std::string id;
    InstanceRole role = InstanceRole::Upstream;
    // Where callers reach it.
    std::string address;
    bool leaving = false;
};

struct InstancesListed {
    std::vector<ListedInstance> instances;
};

struct PeerArrived {
    PeerEnvelope envelope;
};

// An operator's edit of the configuration; the text is the merged document.
struct EditRequested {
    std::uint64_t ticket = 0;
    ConfigurationDocument document;
    // The revision that the operator has seen.
    Revision base = 0;
};

// The timer that Router::nextWake asked for.
struct TimerFired { };

// Stop taking work, finish what is in flight, leave.
struct DrainRequested { };

using Event = std::variant<RequestArrived, CallerLeft, AttemptPiece, AttemptFinished, RatingArrived, StoreReply, LoadReported,
    InstancesListed, PeerArrived, EditRequested, TimerFired, DrainRequested>;

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
    // Tokens that the caller already has; the engine goes on after them.
    std::int64_t resumeAfter = 0;
    // False for calls that must never be sent twice, also not by a transport that reconnects.
    bool mayRepeat = true;
    std::int64_t priority = 0;
    Milliseconds timeout {};
};

struct CancelAttempt {
    AttemptId attempt {};
};

enum class Ran { No,
    Yes,
    Unknown };

// What goes into the head of an answer besides its status.
struct AnswerHead {
    int status = 200;
    std::string contentType = "application/json";
    std::string model;
    std::string version;
    CostMicros cost = 0;
    Ran ran = Ran::Yes;
    Milliseconds retryAfter {};
};

struct CallerAnswer {
    RequestId request;
    AnswerHead head;
    std::string body;
};

// Starts a streamed answer.
struct CallerStreamStart {
    RequestId request;
    AnswerHead head;
};

struct CallerStreamData {
    RequestId request;
    std::string payload;
};

// Ends a streamed answer; the payload is its last event.
struct CallerStreamEnd {
    RequestId request;
    std::string payload;
};

enum class StoreOperation { Get,
    List,
    // Writes only if the key is at the expected revision; 0 means that it does not exist.
    Swap,
    Remove,
    // Answers when the key is past the expected revision, or after the timeout.
    Watch };

struct StoreCall {
    StoreCallId call {};
    StoreOperation operation = StoreOperation::Get;
    std::string key;
    std::string value;
    std::uint64_t expected = 0;
    Milliseconds timeout {};
};

struct SendPeer {
    InstanceId to;
    PeerEnvelope envelope;
};

struct RateAnswer {
    RequestId request;
    AttemptId attempt {};
    VersionId version;
    std::string task;
    std::string answer;
};

struct EditAnswered {
    std::uint64_t ticket = 0;
    std::error_code ec;
    Revision revision = 0;
    std::string message;
};

// A change of state worth a line in the log.
struct StateChanged {
    std::string what;
    std::string subject;
    std::string detail;
};

using Action = std::variant<SendAttempt, CancelAttempt, CallerAnswer, CallerStreamStart, CallerStreamData, CallerStreamEnd,
    StoreCall, SendPeer, RateAnswer, EditAnswered, StateChanged>;

using Outbox = std::vector<Action>;

}
