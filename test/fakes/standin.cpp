#include "fakes/standin.h"

#include <cstdlib>

namespace skylarkhitch::standin {

Timer::Timer()
    : m_thread([this] { run(); })
{
}

Timer::~Timer()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void Timer::after(Milliseconds delay, std::function<void()> function)
{
    std::lock_guard lock(m_mutex);
    m_scheduled.emplace(std::chrono::steady_clock::now() + delay, std::move(function));
    m_changed.notify_one();
}

void Timer::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_scheduled.empty()) {
            m_changed.wait(lock);
            continue;
        }
        auto first = m_scheduled.begin();
        if (std::chrono::steady_clock::now() < first->first) {
            auto until = first->first;
            m_changed.wait_until(lock, until);
            continue;
        }
        auto function = std::move(first->second);
        m_scheduled.erase(first);
        lock.unlock();
        function();
        lock.lock();
    }
}

void Faults::set(const std::string& name, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    m_values[name] = value;
}

std::int64_t Faults::number(const std::string& name) const { return std::atoll(text(name).c_str()); }

std::string Faults::text(const std::string& name) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_values.find(name);
    return it == m_values.end() ? std::string() : it->second;
}

bool Faults::consume(const std::string& name)
{
    std::lock_guard lock(m_mutex);
    auto it = m_values.find(name);
    auto left = it == m_values.end() ? 0 : std::atoll(it->second.c_str());
    if (left <= 0)
        return false;
    it->second = std::to_string(left - 1);
    return true;
}

void respondText(HttpReply& reply, int status, std::string body, std::vector<HttpHeader> extra)
{
    extra.push_back({ "Content-Type", "application/json" });
    reply.respond(status, std::move(extra), std::move(body));
}

}
