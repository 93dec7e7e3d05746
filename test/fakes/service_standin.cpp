// A fake service: each POST executes and records one booking; GET /log lists the bookings.
// Faults: cut_after_run (executes the next N bookings and aborts their responses), not_run (refuses the next N with 503 as
// not run), slow_ms (delay of each booking), errors (executes the next N and responds with 500).

#include "fakes/standin.h"

#include <nlohmann/json.hpp>

namespace skylarkhitch::standin {

namespace {

    using Json = nlohmann::json;

    class Service final : public Standin {
    public:
        void serve(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) override
        {
            if (request.path == "/v1/load")
                return respondText(*reply, 200, "{\"running\":0,\"waiting\":0,\"leaving\":false}");
            if (request.path == "/log")
                return serveLog(*reply);
            if (request.method == "GET")
                return respondText(*reply, 200, "{\"status\":\"open\"}");
            if (faults.consume("not_run"))
                return respondText(*reply, 503, "{}", { { "X-Not-Run", "true" } });
            if (auto slow = faults.number("slow_ms"); slow > 0)
                return timer.after(Milliseconds(slow), [=, this] { book(request, *reply); });
            book(request, *reply);
        }

    private:
        void serveLog(HttpReply& reply)
        {
            std::lock_guard lock(m_mutex);
            respondText(reply, 200, Json(m_bookings).dump());
        }

        void book(const HttpRequest& request, HttpReply& reply)
        {
            std::size_t number = 0;
            {
                std::lock_guard lock(m_mutex);
                m_bookings.push_back(request.body);
                number = m_bookings.size();
            }
            if (faults.consume("cut_after_run"))
                return reply.abort();
            if (faults.consume("errors"))
                return respondText(reply, 500, "{}");
            respondText(reply, 201, Json { { "booking", number }, { "body", request.body } }.dump());
        }

        std::mutex m_mutex;
        std::vector<std::string> m_bookings;
    };

}

std::unique_ptr<Standin> makeService() { return std::make_unique<Service>(); }

}
