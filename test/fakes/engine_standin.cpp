// A fake model engine that generates chat completions token by token, as one response or as a stream, in a limited number
// of slots. Faults: crash_on (exits the process if the request body contains the text), stall (never responds), cut_after
// (aborts the next cut_times responses after this many tokens), wrong (invalid JSON in non-streamed responses), draining
// (refuses requests with 503 as not run), busy (refuses them with 429 as not run), errors (500 for the next N requests),
// quality (in thousandths), load_lag_ms (age of the load reports).

#include "fakes/standin.h"

#include <atomic>
#include <cstdlib>
#include <deque>
#include <nlohmann/json.hpp>

namespace skylarkhitch::standin {

namespace {

    using Json = nlohmann::json;

    constexpr std::int64_t maxTokens = 24;

    // A queued or running request; the queue or the timer owns it until its response is finished or aborted.
    struct Generation {
        std::shared_ptr<HttpReply> reply;
        std::string version;
        bool streamed = false;
        std::int64_t next = 0;
        std::int64_t last = 0;
        std::int64_t promptTokens = 0;
        std::int64_t cutAfter = -1;
        std::int64_t quality = 0;
        std::int64_t generated = 0;
    };

    class Engine final : public Standin {
    public:
        Engine(std::string version, int quality, Milliseconds perToken, int slots)
            : m_version(std::move(version))
            , m_perToken(perToken)
            , m_slots(slots)
        {
            faults.set("quality", std::to_string(quality));
        }

        void serve(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) override
        {
            if (request.path == "/v1/load")
                return serveLoad(reply);
            if (request.path == "/stats")
                return respondText(*reply, 200, Json { { "started", m_started.load() }, { "generated", m_generated.load() } }.dump());
            if (request.path != "/v1/chat/completions")
                return respondText(*reply, 404, "{}");
            if (faults.number("draining"))
                return respondText(*reply, 503, "{}", { { "X-Not-Run", "true" }, { "X-Leaving", "true" } });
            if (faults.number("busy"))
                return respondText(*reply, 429, "{}", { { "X-Not-Run", "true" } });
            auto crashOn = faults.text("crash_on");
            if (!crashOn.empty() && request.body.find(crashOn) != std::string::npos)
                std::_Exit(1);
            ++m_started;
            if (faults.number("stall"))
                return;
            if (faults.consume("errors"))
                return respondText(*reply, 500, "{}");
            enqueue(request, reply);
        }

    private:
        void serveLoad(const std::shared_ptr<HttpReply>& reply)
        {
            std::lock_guard lock(m_mutex);
            auto now = std::chrono::steady_clock::now();
            m_loadHistory.emplace_back(now, Json { { "running", m_running }, { "waiting", m_waiting.size() }, { "leaving", faults.number("draining") != 0 } });
            auto reportTime = now - Milliseconds(faults.number("load_lag_ms"));
            while (m_loadHistory.size() > 1 && m_loadHistory[1].first <= reportTime)
                m_loadHistory.pop_front();
            respondText(*reply, 200, m_loadHistory.front().second.dump());
        }

        void enqueue(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
        {
            auto json = Json::parse(request.body, nullptr, false);
            if (!json.is_object())
                return respondText(*reply, 400, "{\"error\":\"not JSON\"}");
            auto generation = std::make_shared<Generation>();
            generation->reply = reply;
            generation->version = json.value("model", m_version);
            generation->streamed = json.value("stream", false);
            generation->next = json.value("resume_after", std::int64_t { 0 });
            generation->last = std::min(maxTokens, json.value("max_tokens", maxTokens));
            generation->promptTokens = static_cast<std::int64_t>(request.body.size()) / 4;
            generation->quality = faults.number("quality");
            if (faults.consume("cut_times"))
                generation->cutAfter = faults.number("cut_after");
            std::lock_guard lock(m_mutex);
            m_waiting.push_back(generation);
            startQueued();
        }

        void startQueued()
        {
            while (m_running < m_slots && !m_waiting.empty()) {
                auto generation = m_waiting.front();
                m_waiting.pop_front();
                ++m_running;
                if (generation->streamed)
                    generation->reply->startStream(200, { { "Content-Type", "text/event-stream" }, { "X-Build", "b1" } });
                timer.after(m_perToken, [this, generation] { generateNext(generation); });
            }
        }

        std::string tokenText(const Generation& it) const
        {
            auto text = "t" + std::to_string(it.next) + " ";
            return it.next == 0 ? "quality=" + std::to_string(it.quality) + " " + text : text;
        }

        void generateNext(const std::shared_ptr<Generation>& it)
        {
            if (it->cutAfter >= 0 && it->generated >= it->cutAfter) {
                it->reply->abort();
                return releaseSlot();
            }
            if (it->next >= it->last) {
                finish(*it);
                return releaseSlot();
            }
            if (it->streamed) {
                Json event = { { "id", "x" }, { "object", "chat.completion.chunk" }, { "choices", Json::array({ { { "index", 0 }, { "delta", { { "content", tokenText(*it) } } } } }) } };
                it->reply->write("data: " + event.dump() + "\n\n");
            }
            ++it->next;
            ++it->generated;
            ++m_generated;
            timer.after(m_perToken, [this, it] { generateNext(it); });
        }

        void finish(const Generation& it)
        {
            Json usage = { { "prompt_tokens", it.promptTokens }, { "completion_tokens", it.generated } };
            if (it.streamed) {
                Json event = { { "object", "chat.completion.chunk" }, { "choices", Json::array() }, { "usage", usage } };
                it.reply->write("data: " + event.dump() + "\n\ndata: [DONE]\n\n");
                return it.reply->finish();
            }
            std::string text = "quality=" + std::to_string(it.quality) + " ";
            for (std::int64_t n = 0; n < it.last; ++n)
                text += "t" + std::to_string(n) + " ";
            Json choice = { { "index", 0 }, { "finish_reason", "stop" }, { "message", { { "role", "assistant" }, { "content", text } } } };
            Json answer = { { "object", "chat.completion" }, { "model", it.version }, { "choices", Json::array({ choice }) }, { "usage", usage } };
            respondText(*it.reply, 200, faults.number("wrong") ? "{\"choices\":" : answer.dump(), { { "X-Build", "b1" } });
        }

        void releaseSlot()
        {
            std::lock_guard lock(m_mutex);
            --m_running;
            startQueued();
        }

        std::string m_version;
        Milliseconds m_perToken;
        int m_slots;
        std::mutex m_mutex;
        int m_running = 0;
        std::deque<std::shared_ptr<Generation>> m_waiting;
        std::deque<std::pair<std::chrono::steady_clock::time_point, Json>> m_loadHistory;
        std::atomic<std::uint64_t> m_started = 0;
        std::atomic<std::uint64_t> m_generated = 0;
    };

}

std::unique_ptr<Standin> makeEngine(const std::string& version, int qualityThousandths, Milliseconds perToken, int slots)
{
    return std::make_unique<Engine>(version, qualityThousandths, perToken, slots);
}

}
