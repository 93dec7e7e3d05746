#include "edge/store_client.h"

#include "adapters/log.h"
#include "core/membership/store_revision.h"

#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    // The store normally responds within a few milliseconds, and within a multiple of that when it is slow.
    constexpr Milliseconds callTimeout { 1000 };
    constexpr Milliseconds connectTimeout { 500 };
    // How long a watch waits for the first change, and how much longer its response may take. The wait is long because every
    // response is billed. If the store stops responding, the lease renewal detects it, and changes come from peers.
    constexpr Milliseconds watchWait { 8000 };
    constexpr Milliseconds watchMargin { 700 };
    // A partial read that is older than this is started again: the following watch continues from the revision of the first
    // page, and the platform keeps changes for only 20 s.
    constexpr Seconds maxPartialReadAge { 10 };
    // Limits of a response of a read, of a watch, and of other calls. The memory of an instance may be less than 100 MB. A page of a read
    // is about a megabyte long, and one item more. If there are more changes than a watch may deliver, they are read.
    constexpr std::size_t maxPageBytes = std::size_t { 4 } << 20;
    constexpr std::size_t maxWatchBytes = std::size_t { 2 } << 20;
    constexpr std::size_t maxCallBytes = std::size_t { 1 } << 20;
    // Time limit for the body of a watch or a read.
    constexpr Milliseconds maxItemTime { 10000 };
    // The empty prefix matches all keys.
    constexpr const char* allKeysPrefix = "";

    // Status of a watch whose changes the store no longer has.
    constexpr int historyLost = 410;

    void addEra(MirrorUpdate& update, std::int64_t era)
    {
        update.revision = revisionInEra(update.revision, era);
        for (auto& it : update.changes)
            it.revision = revisionInEra(it.revision, era);
    }

    void logUnreadable(const std::vector<platform::DecodeError>& errors)
    {
        for (const auto& it : errors)
            LogLine(LogLevel::Warning, "store_item_unreadable").with("error", it.message);
    }

    bool isStoreReachable(int status) { return status != 0 && status != 429 && status != 503; }

}

StoreClient::StoreClient(EventLoop& loop, std::string address, EdgeMetrics& metrics)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_metrics(metrics)
{
}

Awaitable<StoreResponse> StoreClient::sendRequest(platform::StoreRequest request, CallOptions options)
{
    auto connection = std::exchange(*options.cachedConnection, nullptr);
    StoreResponse response;
    bool isOpen = connection && connection->isReusable();
    if (!isOpen) {
        connection = std::make_shared<UpstreamConnection>(m_loop);
        isOpen = co_await connection->open(m_address, connectTimeout);
    }
    if (isOpen) {
        connection->setDeadline(options.timeout);
        if (options.isLongPoll)
            m_pendingWatch = connection;
        auto head = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\nHost: ", m_address, "\r\n");
        if (!request.body.empty())
            absl::StrAppend(&head, "Content-Type: application/json\r\n");
        if (request.method != "GET")
            absl::StrAppend(&head, "Content-Length: ", request.body.size(), "\r\n");
        ResponseHead responseHead;
        bool isSent = co_await connection->send(head + "\r\n", std::make_shared<const std::string>(request.body));
        if (isSent && co_await connection->readHead(responseHead) == TransferEnd::Ok) {
            BodyTimes times { options.timeout, options.maxBodyTime };
            auto body = co_await connection->readWholeBody(options.maxBytes, times);
            if (body.end == TransferEnd::Ok)
                response = { responseHead.status, std::move(body.bytes) };
            response.isMalformed = body.end == TransferEnd::Malformed;
            if (options.isLongPoll)
                m_pendingWatch.reset();
            if (isStoreReachable(response.status) && !acceptEra(response, platform::decodeStoreEra(responseHead.fields)))
                response = {};
        }
    }
    connection->clearDeadline();
    if (options.isLongPoll)
        m_pendingWatch.reset();
    if (response.status != 0 && connection->isReusable())
        *options.cachedConnection = connection;
    else
        connection->close();
    m_metrics.storeCall(options.name, response.status);
    bool wasCancelled = options.isLongPoll && std::exchange(m_watchCancelled, false);
    // The read that follows a watch with an answer that cannot be taken shows whether the store is reachable.
    bool isUndecided = options.isLongPoll && (wasCancelled || response.isMalformed);
    if (response.status != 0 || !isUndecided)
        updateReachability(response.status);
    co_return response;
}

bool StoreClient::acceptEra(StoreResponse& response, std::optional<std::int64_t> named)
{
    if (named.has_value() != m_isEraReadable) {
        m_isEraReadable = named.has_value();
        LogLine(LogLevel::Warning, m_isEraReadable ? "store_era_readable" : "store_era_unreadable").with("store", m_address).with("era", era());
    }
    response.era = named.value_or(era());
    if (response.era < era()) {
        LogLine(LogLevel::Warning, "store_answer_outdated").with("store", m_address).with("era", response.era).with("known", era());
        return false;
    }
    bool isLater = m_era && response.era > *m_era;
    m_era = response.era;
    if (isLater)
        cancelPendingWatch();
    return true;
}

void StoreClient::updateReachability(int status)
{
    bool reached = isStoreReachable(status);
    if (reached)
        m_lastResponseAt = bootNow();
    if (reached == m_isReachable)
        return;
    m_isReachable = reached;
    // A watch that was sent before the change may be waiting on a connection that will never deliver a response.
    cancelPendingWatch();
    LogLine(reached ? LogLevel::Info : LogLevel::Warning, reached ? "store_regained" : "store_lost").with("store", m_address).with("status", status);
}

void StoreClient::cancelPendingWatch()
{
    auto connection = m_pendingWatch.lock();
    if (!connection)
        return;
    m_watchCancelled = true;
    connection->close();
}

Awaitable<StoreResponse> StoreClient::call(platform::StoreRequest request, const char* name)
{
    CallOptions options { &m_callConnection, callTimeout, callTimeout, maxCallBytes, name };
    auto response = co_await sendRequest(std::move(request), options);
    // The response may have been lost although the store is reachable. A stale read checks that at a tenth of the price.
    if (response.status == 0) {
        options.name = "probe";
        co_await sendRequest(platform::probeRequest(), options);
    }
    co_return response;
}

Awaitable<StoreClient::StoreUpdateResult> StoreClient::watch(std::int64_t after)
{
    // Another call has shown a new era between two watches. The store may have given the revision out again, and then waits.
    if (m_era && era() != eraOf(after))
        co_return StoreUpdateResult { historyLost, {} };
    CallOptions options { &m_watchConnection, watchWait + watchMargin, maxItemTime, maxWatchBytes, "watch", true };
    auto response = co_await sendRequest(platform::watchRequest(allKeysPrefix, storeRevision(after), watchWait), options);
    StoreUpdateResult result { response.status, {}, response.isMalformed };
    if (response.isMalformed)
        LogLine(LogLevel::Error, "store_answer_unreadable").with("call", "watch");
    if (!response.isOk())
        co_return result;
    // The revision may have been given out again, so the changes may not be those after the known state.
    if (response.era != eraOf(after))
        co_return StoreUpdateResult { historyLost, {} };
    std::vector<platform::DecodeError> errors;
    result.update = platform::decodeChanges(response.body, errors);
    result.isUnreadable = !result.update;
    logUnreadable(errors);
    if (result.update)
        addEra(*result.update, response.era);
    else
        LogLine(LogLevel::Error, "store_answer_unreadable").with("call", "watch").with("bytes", static_cast<std::int64_t>(response.body.size()));
    co_return result;
}

Awaitable<StoreClient::StoreUpdateResult> StoreClient::readAll()
{
    CallOptions options { &m_watchConnection, callTimeout, maxItemTime, maxPageBytes, "read" };
    if (!m_partialRead || bootNow() - m_partialRead->startedAt > maxPartialReadAge)
        m_partialRead = PartialRead { .startedAt = bootNow() };
    auto& update = m_partialRead->update;
    auto& after = m_partialRead->after;
    for (;;) {
        auto response = co_await sendRequest(platform::pageRequest(allKeysPrefix, after), options);
        std::vector<platform::DecodeError> errors;
        auto page = response.isOk() ? platform::decodePage(response.body, errors) : std::nullopt;
        logUnreadable(errors);
        if (!page) {
            LogLine(LogLevel::Warning, "store_read_failed").with("status", response.status).with("after", after);
            co_return StoreUpdateResult { response.status, {} };
        }
        if (update.revision != 0 && response.era != m_partialRead->era) {
            m_partialRead.reset();
            co_return StoreUpdateResult { historyLost, {} };
        }
        m_partialRead->era = response.era;
        // Later pages may come from later revisions. The watch continues from the first page's revision, so it misses no change.
        if (update.revision == 0)
            update.revision = page->revision;
        after = page->items.empty() ? std::string() : page->items.back().key;
        update.changes.insert(update.changes.end(), std::make_move_iterator(page->items.begin()), std::make_move_iterator(page->items.end()));
        if (!page->hasMore)
            break;
    }
    addEra(update, m_partialRead->era);
    StoreUpdateResult result { 200, std::move(update) };
    m_partialRead.reset();
    co_return result;
}

}
