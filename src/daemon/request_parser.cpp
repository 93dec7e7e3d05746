#include "daemon/request_parser.h"

#include "adapters/digest.h"
#include "core/bounded_document.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace skylarkhitch {

namespace {

    // Preserves the order and the names of the fields that are forwarded.
    using Json = nlohmann::ordered_json;

    // The number of values is limited by the size of the body.
    constexpr DocumentBounds chatBounds { 128, std::numeric_limits<std::size_t>::max() };
    constexpr std::size_t maxNameLength = 128;
    constexpr std::int64_t maxDeadlineMs = 3600000;
    constexpr std::int64_t maxRequestedTokens = 1000000;
    constexpr std::int64_t defaultMaxTokens = 256;
    // Estimated bytes of text per token, until the engine reports its count.
    constexpr std::int64_t bytesPerToken = 4;
    constexpr std::string_view servicesPrefix = "/services/";

    bool isValidName(const std::string& text)
    {
        return text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), [](unsigned char c) {
            return std::isalnum(c) || c == '.' || c == '_' || c == ':' || c == '~' || c == '-';
        });
    }

    class Parser {
    public:
        explicit Parser(HttpRequest http)
            : m_http(std::move(http))
        {
        }

        ParsedRequest parse(CallKind kind)
        {
            auto& request = m_parsed.request;
            request.kind = kind;
            request.keyDigest = bearerDigest(m_http);
            if (m_http.tooLarge)
                return fail(ErrorKind::RequestTooLarge, "the body is larger than this site allows");
            if (request.keyDigest.empty())
                return fail(ErrorKind::UnknownKey, "Authorization: expected 'Bearer KEY'");
            readName("x-rank", request.rank);
            readName("x-session", request.session.value);
            readName("idempotency-key", request.idempotencyKey);
            readName("x-task", request.task);
            readDeadline();
            if (m_parsed.error == ErrorKind::None && kind == CallKind::Chat)
                readChat();
            else if (m_parsed.error == ErrorKind::None)
                readServiceCall();
            return std::move(m_parsed);
        }

    private:
        ParsedRequest fail(ErrorKind error, std::string message)
        {
            m_parsed.error = error;
            m_parsed.message = std::move(message);
            return m_parsed;
        }

        void readName(const char* header, std::string& target)
        {
            target = m_http.header(header);
            if (!isValidName(target))
                fail(ErrorKind::BadHeader, std::string(header) + ": expected at most 128 letters, digits or . _ : ~ -");
        }

        void readDeadline()
        {
            auto text = m_http.header("x-deadline-ms");
            std::int64_t ms = 0;
            if (text.empty())
                return;
            if (!absl::SimpleAtoi(text, &ms) || ms < 1 || ms > maxDeadlineMs)
                fail(ErrorKind::BadHeader, "x-deadline-ms: expected a whole number from 1 to 3600000");
            m_parsed.request.deadline = Milliseconds(ms);
        }

        void readChat()
        {
            auto& request = m_parsed.request;
            try {
                checkJson(m_http.body, chatBounds);
            } catch (const std::exception&) {
                fail(ErrorKind::MalformedRequest, "body: nested more deeply than " + std::to_string(chatBounds.depth) + " levels");
                return;
            }
            auto json = Json::parse(m_http.body, nullptr, false);
            if (!json.is_object()) {
                fail(ErrorKind::MalformedRequest, "body: expected a JSON object");
                return;
            }
            if (!json.contains("model") || !json["model"].is_string() || json["model"].get<std::string>().empty()) {
                fail(ErrorKind::MalformedRequest, "model: expected the name of a model or cascade");
                return;
            }
            if (!json.contains("messages") || !json["messages"].is_array() || json["messages"].empty()) {
                fail(ErrorKind::MalformedRequest, "messages: expected a list with at least one message");
                return;
            }
            if (json.contains("stream") && !json["stream"].is_boolean()) {
                fail(ErrorKind::MalformedRequest, "stream: expected true or false");
                return;
            }
            request.target = json["model"].get<std::string>();
            request.streamed = json.value("stream", false);
            request.maxTokens = defaultMaxTokens;
            for (const auto* field : { "max_tokens", "max_completion_tokens" }) {
                if (!json.contains(field))
                    continue;
                if (!json[field].is_number_integer() || json[field] < 1 || json[field] > maxRequestedTokens) {
                    fail(ErrorKind::MalformedRequest, std::string(field) + ": expected a whole number from 1 to 1000000");
                    return;
                }
                request.maxTokens = json[field].get<std::int64_t>();
            }
            request.bodyDigest = sha256Hex(m_http.body);
            request.inputTokens = static_cast<std::int64_t>(m_http.body.size()) / bytesPerToken;
            // HttpUpstreamClient sets "model" to the chosen version, and "resume_after" when it resumes a stream; a caller's
            // own values must not reach the engine.
            json.erase("model");
            json.erase("resume_after");
            request.body = std::make_shared<const std::string>(json.dump(-1, ' ', false, Json::error_handler_t::replace));
        }

        void readServiceCall()
        {
            auto& request = m_parsed.request;
            auto rest = m_http.path.substr(servicesPrefix.size());
            auto slash = rest.find('/');
            request.target = rest.substr(0, slash);
            request.path = slash == std::string::npos ? "/" : rest.substr(slash);
            request.method = m_http.method;
            bool isPrintableAscii = std::all_of(request.path.begin(), request.path.end(), [](unsigned char c) { return c > ' ' && c < 127; });
            if (request.target.empty() || !isPrintableAscii) {
                fail(ErrorKind::MalformedRequest, "path: expected /services/NAME/PATH in plain characters");
                return;
            }
            for (const auto& [key, value] : m_http.query)
                appendQuery(key, value);
            request.contentType = m_http.header("content-type");
            request.bodyDigest = sha256Hex(request.method + " " + request.path + "\n" + m_http.body);
            request.body = std::make_shared<const std::string>(std::move(m_http.body));
        }

        void appendQuery(const std::string& key, const std::string& value)
        {
            auto& path = m_parsed.request.path;
            path += path.find('?') == std::string::npos ? '?' : '&';
            appendEscaped(path, key);
            path += '=';
            appendEscaped(path, value);
        }

        static void appendEscaped(std::string& target, const std::string& text)
        {
            constexpr char hexDigits[] = "0123456789ABCDEF";
            for (unsigned char c : text) {
                if (std::isalnum(c) || c == '-' || c == '.' || c == '_' || c == '~') {
                    target += static_cast<char>(c);
                    continue;
                }
                target += '%';
                target += hexDigits[c >> 4];
                target += hexDigits[c & 15];
            }
        }

        HttpRequest m_http;
        ParsedRequest m_parsed;
    };

}

std::string bearerDigest(const HttpRequest& http)
{
    auto text = http.header("authorization");
    constexpr std::string_view scheme = "Bearer ";
    if (!absl::StartsWithIgnoreCase(text, { scheme.data(), scheme.size() }) || text.size() == scheme.size())
        return {};
    return sha256Hex(std::string_view(text).substr(scheme.size()));
}

ParsedRequest parseCallerRequest(HttpRequest http, CallKind kind)
{
    return Parser(std::move(http)).parse(kind);
}

}
