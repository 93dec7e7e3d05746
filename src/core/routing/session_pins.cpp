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
    m_insertionOrder.push_back(key);
    if (m_insertionOrder.size() > maxPins) {
        m_pins.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
}

}
