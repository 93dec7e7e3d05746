#include "core/routing/session_pins.h"

namespace skylarkhitch {

const SessionPin* SessionPins::find(const std::string& key) const
{
    auto it = m_pins.find(key);
    return it == m_pins.end() ? nullptr : &it->second;
}

void SessionPins::learn(const std::string& key, const SessionPin& pin)
{
    auto [it, isNew] = m_pins.try_emplace(key, pin);
    if (!isNew) {
        if (it->second.generation < pin.generation)
            it->second = pin;
        return;
    }
    m_order.push_back(key);
    if (m_order.size() > mostPins) {
        m_pins.erase(m_order.front());
        m_order.pop_front();
    }
}

}
