#include "core/configuration/config_manager.h"

#include "core/hashing.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace skylarkhitch {

namespace {

    constexpr auto configurationKey = "config/current";
    // Maximum number of entries in a document's edit history.
    constexpr std::size_t maxHistoryLength = 30;

    const EditHistoryEntry* findHistoryEntry(const ConfigurationDocument& document, const std::string& editId)
    {
        auto it = std::find_if(document.history.begin(), document.history.end(), [&](const auto& n) { return n.editId == editId; });
        return it == document.history.end() ? nullptr : &*it;
    }

}

ConfigManager::ConfigManager(Membership& membership, StoreCalls& store, ConfigurationReader reader, ConfigManagerSettings settings)
    : m_membership(membership)
    , m_store(store)
    , m_reader(std::move(reader))
    , m_settings(settings)
{
}

bool ConfigManager::adopt(const ConfigurationDocument& document, Outbox& out)
{
    if (document.revision == m_document.revision || (document.revision < m_document.revision && !m_acceptLowerRevision))
        return false;
    std::string error;
    auto configuration = m_reader(document, error);
    if (!configuration) {
        out.push_back(StateChanged { "configuration", absl::StrCat(document.revision), "rejected: " + error });
        return false;
    }
    m_document = document;
    m_current = std::move(configuration);
    out.push_back(StateChanged { "configuration", absl::StrCat(document.revision), "in force" });
    return true;
}

bool ConfigManager::isWatcher() const
{
    auto order = rendezvousOrder(configurationKey, m_membership.writers());
    order.resize(std::min(order.size(), m_settings.watcherCount));
    return std::find(order.begin(), order.end(), m_membership.self().instance) != order.end();
}

void ConfigManager::wake(TimePoint now, Outbox& out)
{
    if (m_retryAt && now >= *m_retryAt)
        m_retryAt.reset();
    adoptStartupDocument(now, out);
    // Every instance reads the key once; after that only the watchers read it.
    if (!m_watching && !m_retryAt && (isWatcher() || !m_storeRead))
        watch(out);
    std::vector<std::uint64_t> due;
    for (const auto& [ticket, edit] : m_edits) {
        if (edit.retryAt && now >= *edit.retryAt)
            due.push_back(ticket);
    }
    for (auto ticket : due) {
        m_edits[ticket].retryAt.reset();
        readStoredForEdit(ticket, out);
    }
}

std::optional<TimePoint> ConfigManager::nextWake() const
{
    auto next = m_retryAt;
    if (m_startupDocument)
        next = m_startupDocumentReadAt + m_settings.startupPeerWait;
    for (const auto& [ticket, edit] : m_edits) {
        if (edit.retryAt)
            next = next ? std::min(*next, *edit.retryAt) : *edit.retryAt;
    }
    return next;
}

void ConfigManager::watch(Outbox& out)
{
    m_watching = true;
    auto operation = m_storeRead ? StoreOperation::Watch : StoreOperation::Get;
    m_store.send(
        { .operation = operation, .key = configurationKey, .expected = m_storeRevision, .timeout = m_storeRead ? m_settings.watchTimeout : m_settings.storeTimeout },
        [this](const StoreReply& reply, TimePoint now, Outbox& outbox) { onWatchReply(reply, now, outbox); }, out);
}

void ConfigManager::onWatchReply(const StoreReply& reply, TimePoint now, Outbox& out)
{
    m_watching = false;
    if (reply.status == StoreStatus::Unavailable) {
        m_retryAt = now + m_settings.retryDelay;
        return;
    }
    m_storeRead = true;
    if (reply.status == StoreStatus::Ok && !reply.items.empty())
        applyStoreItem(reply.items.front(), now, out);
    if (isWatcher())
        watch(out);
}

void ConfigManager::applyStoreItem(const StoreItem& item, TimePoint now, Outbox& out)
{
    m_storeRevision = item.revision;
    auto document = decodeDocument(item.value);
    if (!document)
        return;
    bool storeIsBehind = document->revision < m_document.revision;
    if (storeIsBehind && isWatcher() && !m_acceptLowerRevision)
        writeBack(item.revision, out);
    if (m_current || m_membership.peers().empty()) {
        adopt(*document, out);
        return;
    }
    m_startupDocument = std::move(*document);
    m_startupDocumentReadAt = now;
    adoptStartupDocument(now, out);
}

void ConfigManager::adoptStartupDocument(TimePoint now, Outbox& out)
{
    if (!m_startupDocument || (!m_peerConfirmed && now < m_startupDocumentReadAt + m_settings.startupPeerWait))
        return;
    adopt(*m_startupDocument, out);
    m_startupDocument.reset();
}

void ConfigManager::writeBack(std::uint64_t storeRevision, Outbox& out)
{
    out.push_back(StateChanged { "configuration", absl::StrCat(m_document.revision), "written back to the store, which had an older revision" });
    // The reply is ignored. If several watchers write back, the first swap succeeds and the others see the result in their
    // watch.
    m_store.send(
        { .operation = StoreOperation::CompareAndSwap, .key = configurationKey, .value = encodeDocument(m_document), .expected = storeRevision, .timeout = m_settings.storeTimeout },
        [](const StoreReply&, TimePoint, Outbox&) {}, out);
}

void ConfigManager::onPeerRevision(const InstanceId& from, Revision revision, TimePoint now, Outbox& out)
{
    // Revision 0 means that the peer has no configuration yet, so it does not confirm this instance's revision.
    bool peerIsAhead = revision > (m_startupDocument ? m_startupDocument->revision : m_document.revision);
    if (revision > 0 && !peerIsAhead) {
        m_peerConfirmed = true;
        adoptStartupDocument(now, out);
    }
    if (peerIsAhead)
        out.push_back(SendPeerMessage { from, { m_membership.self(), ConfigurationPull {} } });
}

void ConfigManager::onConfigurationPull(const InstanceId& from, Outbox& out) const
{
    if (m_document.revision > 0)
        out.push_back(SendPeerMessage { from, { m_membership.self(), ConfigurationPush { m_document } } });
}

void ConfigManager::edit(EditRequested request, TimePoint now, Outbox& out)
{
    auto ticket = request.ticket;
    std::string error;
    if (!m_reader(request.document, error)) {
        out.push_back(EditCompleted { ticket, ErrorKind::MalformedRequest, m_document.revision, error });
        return;
    }
    m_edits[ticket] = { std::move(request), now + m_settings.editTimeout };
    readStoredForEdit(ticket, out);
}

void ConfigManager::readStoredForEdit(std::uint64_t ticket, Outbox& out)
{
    m_store.send(
        { .operation = StoreOperation::Get, .key = configurationKey, .timeout = m_settings.storeTimeout },
        [this, ticket](const StoreReply& reply, TimePoint now, Outbox& outbox) { onEditReadReply(ticket, reply, now, outbox); }, out);
}

void ConfigManager::onEditReadReply(std::uint64_t ticket, const StoreReply& reply, TimePoint now, Outbox& out)
{
    if (reply.status == StoreStatus::Unavailable)
        return retryOrFailEdit(ticket, now, out);
    ConfigurationDocument stored;
    std::uint64_t storeRevision = 0;
    if (reply.status == StoreStatus::Ok) {
        storeRevision = reply.items.front().revision;
        auto document = decodeDocument(reply.items.front().value);
        if (!document)
            return answerEdit(ticket, ErrorKind::Internal, "the stored configuration is malformed; it was not changed", out);
        stored = *document;
    }
    adopt(stored, out);
    auto& edit = m_edits.at(ticket);
    if (const auto* entry = findHistoryEntry(stored, edit.request.document.editId)) {
        edit.request.document.revision = entry->revision;
        return answerEdit(ticket, {}, "in force", out);
    }
    if (stored.revision != edit.request.base)
        return answerEdit(ticket, ErrorKind::EditConflict, absl::StrCat("the store has revision ", stored.revision, " by ", stored.author, ", but this edit is based on revision ", edit.request.base, "; compare with 'config diff' and apply again"), out);
    sendEditSwap(ticket, stored, storeRevision, out);
}

void ConfigManager::sendEditSwap(std::uint64_t ticket, const ConfigurationDocument& stored, std::uint64_t storeRevision, Outbox& out)
{
    auto& edit = m_edits.at(ticket);
    edit.swapSent = true;
    auto& document = edit.request.document;
    document.revision = stored.revision + 1;
    document.history = stored.history;
    document.history.push_back({ document.revision, document.editId, document.author, document.at });
    if (document.history.size() > maxHistoryLength)
        document.history.erase(document.history.begin());
    m_store.send(
        { .operation = StoreOperation::CompareAndSwap, .key = configurationKey, .value = encodeDocument(document), .expected = storeRevision, .timeout = m_settings.storeTimeout },
        [this, ticket](const StoreReply& reply, TimePoint now, Outbox& outbox) { onEditSwapReply(ticket, reply, now, outbox); }, out);
}

void ConfigManager::onEditSwapReply(std::uint64_t ticket, const StoreReply& reply, TimePoint now, Outbox& out)
{
    if (reply.status == StoreStatus::Ok) {
        adopt(m_edits.at(ticket).request.document, out);
        return answerEdit(ticket, {}, "in force", out);
    }
    if (reply.status == StoreStatus::Conflict)
        return readStoredForEdit(ticket, out);
    retryOrFailEdit(ticket, now, out);
}

void ConfigManager::retryOrFailEdit(std::uint64_t ticket, TimePoint now, Outbox& out)
{
    auto& edit = m_edits.at(ticket);
    if (now < edit.deadline) {
        edit.retryAt = now + m_settings.retryDelay;
        return;
    }
    auto message = edit.swapSent ? "the store did not reply, so the edit may still take effect; check with 'config show' before applying again"
                                 : "the store is unreachable and nothing was changed; apply again later";
    answerEdit(ticket, ErrorKind::StoreUnavailable, message, out);
}

void ConfigManager::answerEdit(std::uint64_t ticket, std::error_code ec, std::string message, Outbox& out)
{
    auto revision = ec ? m_document.revision : m_edits.at(ticket).request.document.revision;
    out.push_back(EditCompleted { ticket, ec, revision, std::move(message) });
    m_edits.erase(ticket);
}

}
