// A fake platform: a key-value store with compare-and-swap and watches, an instance list and a rating service.
// Faults: down (closes the connection of each store call), slow_ms (delay of store calls), lose_reply (the next N
// compare-and-swaps are committed but their responses are lost), writes_per_s (compare-and-swaps over this rate get 429),
// list_lag_ms (age of the instance list).

#include "fakes/standin.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <deque>
#include <nlohmann/json.hpp>

namespace skylarkhitch::standin {

namespace {

    using Json = nlohmann::json;
    using Clock = std::chrono::steady_clock;

    constexpr std::string_view kvPrefix = "/v1/kv/";
    constexpr std::size_t maxValueBytes = 1 << 20;

    class Platform final : public Standin {
    public:
        void serve(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) override
        {
            if (absl::StartsWith(request.path, "/v1/instances"))
                return serveInstances(request, *reply);
            if (request.path == "/v1/ratings")
                return serveRating(request, *reply);
            if (request.path == "/stats")
                return respondText(*reply, 200, stats().dump());
            ++m_calls;
            if (faults.number("down"))
                return reply->abort();
            if (auto slow = faults.number("slow_ms"); slow > 0)
                return timer.after(Milliseconds(slow), [=, this] { serveStore(request, reply); });
            serveStore(request, reply);
        }

    private:
        struct Item {
            std::string value;
            std::uint64_t index;
        };
        struct Watch {
            std::uint64_t id;
            std::string key;
            std::uint64_t after;
            std::shared_ptr<HttpReply> reply;
        };

        Json stats()
        {
            std::lock_guard lock(m_mutex);
            return { { "calls", m_calls.load() }, { "writes", m_writes }, { "conflicts", m_conflicts }, { "refused", m_rateLimited }, { "keys", m_items.size() } };
        }

        static Json itemJson(const std::string& key, const Item& item)
        {
            std::string value;
            absl::Base64Escape(item.value, &value);
            return { { "Key", key }, { "Value", value }, { "ModifyIndex", item.index } };
        }

        void serveStore(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
        {
            if (request.path == "/v1/txn")
                return compareAndSwap(request, *reply);
            auto key = request.path.substr(kvPrefix.size());
            std::lock_guard lock(m_mutex);
            if (request.method == "DELETE") {
                m_items.erase(key);
                return respondText(*reply, 200, "true");
            }
            if (request.query.contains("index"))
                return watch(key, request, reply);
            answerRead(key, request.query.contains("recurse"), *reply);
        }

        void answerRead(const std::string& key, bool recurse, HttpReply& reply)
        {
            Json items = Json::array();
            for (auto it = m_items.lower_bound(key); it != m_items.end(); ++it) {
                if (recurse ? !absl::StartsWith(it->first, key) : it->first != key)
                    break;
                items.push_back(itemJson(it->first, it->second));
            }
            bool found = recurse || !items.empty();
            respondText(reply, found ? 200 : 404, items.dump());
        }

        void watch(const std::string& key, const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
        {
            auto after = static_cast<std::uint64_t>(std::atoll(request.queryValue("index").c_str()));
            auto it = m_items.find(key);
            if (it != m_items.end() && it->second.index > after)
                return answerRead(key, false, *reply);
            auto id = ++m_lastWatch;
            m_watches.push_back({ id, key, after, reply });
            timer.after(Milliseconds(std::atoll(request.queryValue("wait").c_str())), [this, id] { expireWatch(id); });
        }

        void expireWatch(std::uint64_t id)
        {
            std::lock_guard lock(m_mutex);
            auto it = std::find_if(m_watches.begin(), m_watches.end(), [&](const auto& w) { return w.id == id; });
            if (it == m_watches.end())
                return;
            answerRead(it->key, false, *it->reply);
            m_watches.erase(it);
        }

        bool withinWriteRate()
        {
            auto limit = faults.number("writes_per_s");
            auto now = Clock::now();
            while (!m_recentWrites.empty() && now - m_recentWrites.front() > std::chrono::seconds(1))
                m_recentWrites.pop_front();
            if (limit > 0 && static_cast<std::int64_t>(m_recentWrites.size()) >= limit)
                return false;
            m_recentWrites.push_back(now);
            return true;
        }

        void compareAndSwap(const HttpRequest& request, HttpReply& reply)
        {
            auto operation = Json::parse(request.body).at(0).at("KV");
            std::string key = operation.at("Key");
            std::uint64_t expected = operation.at("Index");
            std::lock_guard lock(m_mutex);
            if (!withinWriteRate()) {
                ++m_rateLimited;
                return respondText(reply, 429, "{}");
            }
            auto it = m_items.find(key);
            if ((it == m_items.end() ? 0 : it->second.index) != expected) {
                ++m_conflicts;
                return respondText(reply, 409, "{\"Errors\":[{\"What\":\"index is stale\"}]}");
            }
            std::string value;
            absl::Base64Unescape(operation.at("Value").get<std::string>(), &value);
            if (value.size() > maxValueBytes)
                return respondText(reply, 413, "{}");
            ++m_writes;
            m_items[key] = { std::move(value), ++m_index };
            notifyWatches(key);
            if (faults.consume("lose_reply"))
                return reply.abort();
            Json result = { { "Results", Json::array({ { { "KV", { { "Key", key }, { "ModifyIndex", m_index } } } } }) }, { "Errors", nullptr } };
            respondText(reply, 200, result.dump());
        }

        void notifyWatches(const std::string& key)
        {
            std::erase_if(m_watches, [&](const Watch& it) {
                if (it.key != key)
                    return false;
                answerRead(key, false, *it.reply);
                return true;
            });
        }

        // POST adds, replaces or (in state "gone") removes an instance; GET returns the list as it was list_lag_ms ago.
        void serveInstances(const HttpRequest& request, HttpReply& reply)
        {
            std::lock_guard lock(m_mutex);
            if (request.method == "POST") {
                auto line = Json::parse(request.body);
                std::erase_if(m_instances, [&](const Json& it) { return it.at("id") == line.at("id"); });
                if (line.value("state", "") != "gone")
                    m_instances.push_back(line);
                m_listHistory.emplace_back(Clock::now(), Json(m_instances));
                return respondText(reply, 200, "{}");
            }
            auto listTime = Clock::now() - Milliseconds(faults.number("list_lag_ms"));
            Json list = Json::array();
            for (const auto& [at, it] : m_listHistory) {
                if (at <= listTime)
                    list = it;
            }
            respondText(reply, 200, list.dump());
        }

        // Reads the rating from the "quality=" marker (in thousandths) that engine_standin puts into its responses.
        void serveRating(const HttpRequest& request, HttpReply& reply)
        {
            std::string answer = Json::parse(request.body).value("answer", "");
            auto at = answer.find("quality=");
            auto thousandths = at == std::string::npos ? 0 : std::atoi(answer.c_str() + at + 8);
            respondText(reply, 200, Json { { "rating", thousandths / 1000.0 } }.dump());
        }

        std::mutex m_mutex;
        std::map<std::string, Item> m_items;
        std::uint64_t m_index = 0;
        std::atomic<std::uint64_t> m_calls = 0;
        std::uint64_t m_writes = 0;
        std::uint64_t m_conflicts = 0;
        std::uint64_t m_rateLimited = 0;
        std::uint64_t m_lastWatch = 0;
        std::vector<Watch> m_watches;
        std::deque<Clock::time_point> m_recentWrites;
        std::vector<Json> m_instances;
        std::vector<std::pair<Clock::time_point, Json>> m_listHistory;
    };

}

std::unique_ptr<Standin> makePlatform() { return std::make_unique<Platform>(); }

}
