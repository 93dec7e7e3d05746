#include "core/store_calls.h"

namespace skylarkhitch {

void StoreCalls::send(StoreCall call, Handler handler, Outbox& out)
{
    call.call = StoreCallId { ++m_lastCall };
    m_pending.emplace(call.call, Pending { call.operation, std::move(handler) });
    out.push_back(std::move(call));
}

void StoreCalls::reply(const StoreReply& reply, TimePoint now, Outbox& out)
{
    auto it = m_pending.find(reply.call);
    if (it == m_pending.end())
        return;
    auto pending = std::move(it->second);
    m_pending.erase(it);
    m_reachable = reply.status != StoreStatus::Unavailable;
    pending.handler(reply, now, out);
}

}
