#include "core/ledger/ledger.h"

#include "core/hashing.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace skylarkhitch {

namespace {

    // How often wake() checks a record that may be held while the store is unreachable or after a holder has replied.
    constexpr Milliseconds holdCheckPeriod { 10 };

}

Ledger::Ledger(Incarnation self, LedgerSettings settings, Membership& membership, StoreCalls& store)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_membership(membership)
    , m_store(store)
{
    auto prefix = absl::StrCat(m_self.instance.value, "/", m_self.number);
    for (std::uint32_t n = 0; n < m_settings.shards; ++n)
        m_shards.push_back(std::make_unique<LedgerShard>(n, prefix, m_settings.shard, store));
}

std::uint32_t Ledger::shardOf(const std::string& key) const
{
    return static_cast<std::uint32_t>(hashOf(key) % m_settings.shards);
}

InstanceId Ledger::writerOf(std::uint32_t shard, int sends) const
{
    if (sends > 0)
        return m_self.instance;
    return rendezvousOrder(absl::StrCat("shard/", shard), m_membership.writers()).front();
}

AppendTicket Ledger::append(LedgerRecord record, bool mayBeHeld, TimePoint now, Outbox& out)
{
    auto ticket = ++m_nextTicket;
    auto shard = shardOf(record.key);
    auto& pending = m_pending[ticket] = { std::move(record), shard, mayBeHeld };
    pending.startedAt = now;
    send(ticket, pending, now, out);
    return ticket;
}

void Ledger::send(AppendTicket ticket, Pending& pending, TimePoint now, Outbox& out)
{
    auto writer = writerOf(pending.shard, pending.sends);
    pending.sentAt = now;
    // A record that was passed to the local shard is not sent again: the shard retries until the store replies.
    if (pending.writer == m_self.instance)
        return;
    pending.writer = writer;
    ++pending.sends;
    if (writer == m_self.instance)
        m_shards[pending.shard]->append(ticket, pending.record, now, out);
    else
        out.push_back(SendPeerMessage { writer, { m_self, AppendRequest { ticket, pending.shard, pending.record } } });
}

void Ledger::setLookupWindow(Seconds window)
{
    for (auto& it : m_shards)
        it->setLookupWindow(window);
}

bool Ledger::cancelAppend(AppendTicket ticket)
{
    auto it = m_pending.find(ticket);
    if (it == m_pending.end())
        return false;
    bool neverAppended = it->second.writer == m_self.instance && it->second.sends == 1 && m_shards[it->second.shard]->cancelAppend(ticket);
    m_pending.erase(it);
    return neverAppended;
}

bool Ledger::needsHolders(const Pending& pending, TimePoint now) const
{
    if (!pending.mayBeHeld || pending.reported || pending.holdRequestedAt)
        return false;
    return !m_store.reachable() || now >= pending.startedAt + m_settings.holdAfter;
}

void Ledger::requestHold(AppendTicket ticket, Pending& pending, TimePoint now, Outbox& out)
{
    auto peers = m_membership.peersInOtherDomains(pending.record.key);
    peers.resize(std::min(peers.size(), m_settings.holderCount));
    if (peers.empty())
        return;
    pending.holdRequestedAt = now;
    pending.holdersRequested = peers.size();
    for (const auto& it : peers)
        out.push_back(SendPeerMessage { it, { m_self, HoldRequest { ticket, pending.record } } });
}

bool Ledger::isHeldByPeers(const Pending& pending, TimePoint now) const
{
    if (pending.holdersReplied == 0)
        return false;
    return pending.holdersReplied >= pending.holdersRequested || now >= *pending.holdRequestedAt + m_settings.acceptOneHolderAfter;
}

void Ledger::onPeer(const Incarnation& from, const AppendRequest& request, TimePoint now, Outbox& out)
{
    if (request.shard >= m_shards.size())
        return;
    auto ticket = ++m_nextTicket;
    m_peerAppends[ticket] = { from, request.ticket };
    m_shards[request.shard]->append(ticket, request.record, now, out);
}

void Ledger::onPeer(const AppendReply& reply, TimePoint, Outbox&)
{
    std::error_code ec;
    if (reply.error != 0)
        ec = static_cast<ErrorKind>(reply.error);
    m_readyResults.push_back({ reply.ticket, ec, reply.existing });
}

void Ledger::onPeer(const Incarnation& from, const HoldRequest& request, TimePoint now, Outbox& out)
{
    // From here on this instance appends the record too and keeps retrying. Two copies do no harm: the index rejects the
    // second one by its key.
    auto ticket = append(request.record, false, now, out);
    m_pending[ticket].reported = true;
    out.push_back(SendPeerMessage { from.instance, { m_self, HoldReply { request.ticket } } });
}

void Ledger::onPeer(const HoldReply& reply)
{
    auto it = m_pending.find(reply.ticket);
    if (it != m_pending.end())
        ++it->second.holdersReplied;
}

void Ledger::wake(TimePoint now, Outbox& out)
{
    m_lastWake = now;
    for (auto& it : m_shards)
        it->wake(now, out);
    for (auto& [ticket, pending] : m_pending) {
        if (now >= pending.sentAt + m_settings.resendAfter)
            send(ticket, pending, now, out);
        if (needsHolders(pending, now))
            requestHold(ticket, pending, now, out);
        if (!pending.reported && isHeldByPeers(pending, now))
            m_readyResults.push_back({ .ticket = ticket, .heldByPeer = true });
    }
}

std::optional<TimePoint> Ledger::nextWake() const
{
    std::optional<TimePoint> next;
    auto consider = [&](TimePoint at) { next = next ? std::min(*next, at) : at; };
    for (const auto& it : m_shards) {
        if (auto at = it->nextWake())
            consider(*at);
    }
    for (const auto& [ticket, pending] : m_pending) {
        if (pending.writer != m_self.instance)
            consider(pending.sentAt + m_settings.resendAfter);
        if (!pending.mayBeHeld || pending.reported)
            continue;
        bool soon = !m_store.reachable() || pending.holdersReplied > 0;
        consider(soon ? m_lastWake + holdCheckPeriod : pending.startedAt + m_settings.holdAfter);
    }
    return next;
}

void Ledger::completePending(const AppendResult& result, std::vector<AppendResult>& results)
{
    auto it = m_pending.find(result.ticket);
    if (it == m_pending.end())
        return;
    if (!it->second.reported)
        results.push_back(result);
    it->second.reported = true;
    // A record that is only held stays pending until it is in the store.
    if (!result.heldByPeer)
        m_pending.erase(it);
}

std::vector<AppendResult> Ledger::takeResults(TimePoint, Outbox& out)
{
    std::vector<AppendResult> results;
    for (const auto& it : std::exchange(m_readyResults, {}))
        completePending(it, results);
    for (auto& shard : m_shards) {
        for (auto& it : shard->takeResults()) {
            auto peer = m_peerAppends.find(it.ticket);
            if (peer == m_peerAppends.end()) {
                completePending(it, results);
                continue;
            }
            out.push_back(SendPeerMessage { peer->second.from.instance,
                { m_self, AppendReply { peer->second.ticket, static_cast<int>(kindOf(it.ec)), it.existing } } });
            m_peerAppends.erase(peer);
        }
    }
    return results;
}

std::size_t Ledger::heldRecords() const
{
    return std::count_if(m_pending.begin(), m_pending.end(), [](const auto& it) { return it.second.reported; });
}

}
