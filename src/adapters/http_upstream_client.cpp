#include "adapters/http_upstream_client.h"

#include "adapters/json_count.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    constexpr auto streamEndMarker = "[DONE]";
    // Maximum number of buffered bytes of an unfinished line of a stream. If it is exceeded, the buffered part is discarded
    // and the rest is processed as a new line.
    constexpr std::size_t maxLineBytes = 1 << 20;

    Usage parseUsage(const Json& json)
    {
        auto it = json.find("usage");
        if (it == json.end() || !it->is_object())
            return {};
        return { countOf(*it, "prompt_tokens"), countOf(*it, "completion_tokens") };
    }

    // Parses server-sent events incrementally and forwards their payloads.
    class StreamReader {
    public:
        StreamReader(AttemptId attempt, UpstreamClient::Sink sink)
            : m_attempt(attempt)
            , m_sink(std::move(sink))
        {
        }

        void feed(std::string_view bytes)
        {
            m_line.append(bytes);
            std::size_t start = 0;
            for (auto end = m_line.find('\n'); end != std::string::npos; end = m_line.find('\n', start)) {
                processLine(std::string_view(m_line).substr(start, end - start));
                start = end + 1;
            }
            m_line.erase(0, start);
            if (m_line.size() > maxLineBytes)
                m_line.clear();
        }

        bool sawEnd() const { return m_sawEnd; }
        const Usage& usage() const { return m_usage; }

    private:
        void processLine(std::string_view line)
        {
            if (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            if (m_sawEnd || line.substr(0, 5) != "data:")
                return;
            line.remove_prefix(5);
            if (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            if (line == streamEndMarker) {
                m_sawEnd = true;
                return;
            }
            recordUsage(line);
            m_sink(AttemptChunk { m_attempt, std::string(line), countTokens(line) });
        }

        // Engines send one token per event, so a search for a non-empty content field suffices and avoids parsing JSON for
        // each token.
        static std::int64_t countTokens(std::string_view payload)
        {
            constexpr std::string_view field = "\"content\":\"";
            auto at = payload.find(field);
            return at != std::string_view::npos && payload.substr(at + field.size(), 1) != "\"" ? 1 : 0;
        }

        void recordUsage(std::string_view payload)
        {
            if (payload.find("\"usage\":{") == std::string_view::npos)
                return;
            auto json = Json::parse(payload, nullptr, false);
            if (json.is_object())
                m_usage = parseUsage(json);
        }

        AttemptId m_attempt;
        UpstreamClient::Sink m_sink;
        std::string m_line;
        bool m_sawEnd = false;
        Usage m_usage;
    };

    // Builds the body that is sent to the engine: "model" is set to the version, and "resume_after" makes a resumed stream
    // continue after the tokens that the caller has already received.
    std::shared_ptr<const std::string> makeChatBody(const SendAttempt& attempt)
    {
        std::string body = absl::StrCat("{\"model\":", Json(attempt.version.value).dump());
        if (attempt.resumeAfter > 0)
            absl::StrAppend(&body, ",\"resume_after\":", attempt.resumeAfter);
        // The request parser has removed "model" from the body; the rest is a JSON object, appended without its first brace.
        if (*attempt.body != "{}")
            absl::StrAppend(&body, ",");
        body.append(*attempt.body, 1);
        return std::make_shared<const std::string>(std::move(body));
    }

    HttpCall makeHttpCall(const SendAttempt& attempt)
    {
        HttpCall call { .method = attempt.method, .address = attempt.address, .path = attempt.path, .timeout = attempt.timeout };
        bool isChat = attempt.kind == CallKind::Chat;
        if (isChat)
            call.body = makeChatBody(attempt);
        else if (attempt.method != "GET" && attempt.method != "HEAD")
            call.body = attempt.body;
        call.headers = {
            { "Content-Type", isChat || attempt.contentType.empty() ? "application/json" : attempt.contentType },
            { "X-Request-Id", attempt.request.value },
            { "X-Attempt-Id", std::to_string(static_cast<std::uint64_t>(attempt.attempt)) },
            { "X-Priority", std::to_string(attempt.priority) },
        };
        call.freshConnection = !attempt.isRetryable;
        // Each attempt is sent at most once; retries are decided by the core.
        call.mayResend = false;
        return call;
    }

    AttemptEnd attemptEndFor(const HttpResult& result)
    {
        switch (result.end) {
        case HttpEnd::NotSent:
            return AttemptEnd::NotSent;
        case HttpEnd::Cut:
            return AttemptEnd::Cut;
        case HttpEnd::TimedOut:
            return AttemptEnd::TimedOut;
        case HttpEnd::Complete:
            break;
        }
        auto notRun = result.headers.find("x-not-run");
        if ((result.status == 429 || result.status == 503) && notRun != result.headers.end() && notRun->second == "true")
            return AttemptEnd::RefusedNotRun;
        return result.status >= 500 ? AttemptEnd::UpstreamError : AttemptEnd::Completed;
    }

    AttemptFinished makeAttemptFinished(const SendAttempt& attempt, HttpResult result, const StreamReader& stream)
    {
        AttemptFinished finished { .attempt = attempt.attempt, .end = attemptEndFor(result), .status = result.status, .contentType = result.headers["content-type"] };
        finished.reportedBuild = result.headers["x-build"];
        finished.leaving = result.headers["x-leaving"] == "true";
        if (finished.end == AttemptEnd::Completed && attempt.kind == CallKind::Chat) {
            if (result.status >= 400) {
                finished.end = AttemptEnd::UpstreamError;
            } else if (attempt.streamed) {
                // A stream without the end marker is incomplete, even if the connection was closed cleanly.
                finished.end = stream.sawEnd() ? AttemptEnd::Completed : AttemptEnd::Cut;
                finished.usage = stream.usage();
            } else {
                auto json = Json::parse(result.body, nullptr, false);
                finished.end = json.is_object() ? AttemptEnd::Completed : AttemptEnd::Cut;
                finished.usage = json.is_object() ? parseUsage(json) : Usage {};
            }
        }
        finished.body = std::move(result.body);
        return finished;
    }

}

void HttpUpstreamClient::send(const SendAttempt& attempt)
{
    auto stream = std::make_shared<StreamReader>(attempt.attempt, m_sink);
    HttpCallbacks callbacks;
    if (attempt.kind == CallKind::Chat && attempt.streamed) {
        callbacks.onData = [stream](int status, std::string_view bytes) {
            if (status == 200)
                stream->feed(bytes);
        };
    }
    callbacks.onEnd = [this, attempt, stream](HttpResult result) {
        removeCall(attempt.attempt);
        m_sink(makeAttemptFinished(attempt, std::move(result), *stream));
    };
    std::lock_guard lock(m_mutex);
    m_calls[attempt.attempt] = m_client.start(makeHttpCall(attempt), std::move(callbacks));
}

void HttpUpstreamClient::cancel(AttemptId attempt)
{
    std::lock_guard lock(m_mutex);
    auto it = m_calls.find(attempt);
    if (it == m_calls.end())
        return;
    m_client.cancel(it->second);
    m_calls.erase(it);
}

void HttpUpstreamClient::removeCall(AttemptId attempt)
{
    std::lock_guard lock(m_mutex);
    m_calls.erase(attempt);
}

}
