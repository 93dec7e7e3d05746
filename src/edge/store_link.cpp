#include "edge/store_link.h"

#include "adapters/log.h"

#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    // The store normally responds within a few milliseconds, and within a multiple of that when it is slow.
    constexpr Milliseconds callTime { 1000 };
    constexpr Milliseconds connectTime { 500 };
    // How long a watch waits for the first change, and how much longer its response may take. The wait is long because every
    // response is billed. If the store stops responding, the lease renewal detects it, and changes come from peers.
    constexpr Milliseconds watchTime { 8000 };
    constexpr Milliseconds watchMargin { 700 };
    // A partial read that is older than this is started again: the following watch continues from the revision of the first
    // page, and the platform keeps changes for only 20 s.
    constexpr Seconds longestRead { 10 };
    constexpr std::size_t mostAnswerBytes = std::size_t { 16 } << 20;
    // The empty prefix matches all keys.
    constexpr const char* everyKey = "";

    bool isAnswer(int status) { return status != 0 && status != 429 && status != 503; }

}

StoreLink::StoreLink(EventLoop& loop, std::string address, EdgeMetrics& metrics)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_metrics(metrics)
{
}

Awaitable<StoreAnswer> StoreLink::exchange(platform::StoreRequest request, CallOptions options)
{
    auto connection = std::exchange(*options.kept, nullptr);
    StoreAnswer answer;
    bool isOpen = connection && connection->isReusable();
    if (!isOpen) {
        connection = std::make_shared<UpstreamConnection>(m_loop);
        isOpen = co_await connection->open(m_address, connectTime);
    }
    if (isOpen) {
        connection->endAfter(options.timeout);
        if (options.waitsForChange)
            m_waitingWatch = connection;
        auto head = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\nHost: ", m_address, "\r\n");
        if (!request.body.empty())
            absl::StrAppend(&head, "Content-Type: application/json\r\n");
        if (request.method != "GET")
            absl::StrAppend(&head, "Content-Length: ", request.body.size(), "\r\n");
        ResponseHead answerHead;
        bool isSent = co_await connection->send(head + "\r\n", std::make_shared<const std::string>(request.body));
        if (isSent && co_await connection->readHead(answerHead) == TransferEnd::Ok) {
            // Responses of about a megabyte take long if many instances read them at the same time, so only a lack of progress
            // ends the read.
            auto body = co_await connection->readWholeBody(mostAnswerBytes, options.timeout);
            if (body.end == TransferEnd::Ok)
                answer = { answerHead.status, std::move(body.bytes) };
        }
    }
    connection->clearDeadline();
    if (options.waitsForChange)
        m_waitingWatch.reset();
    if (answer.status != 0 && connection->isReusable())
        *options.kept = connection;
    else
        connection->close();
    m_metrics.storeCall(options.name, answer.status);
    bool wasEnded = options.waitsForChange && std::exchange(m_watchEnded, false);
    if (answer.status != 0 || !wasEnded)
        noteAnswer(answer.status);
    co_return answer;
}

void StoreLink::noteAnswer(int status)
{
    bool reached = isAnswer(status);
    if (reached)
        m_answeredAt = bootNow();
    if (reached == m_isReached)
        return;
    m_isReached = reached;
    // A watch that was sent before the change may be waiting on a connection that will never deliver a response.
    restartWatch();
    LogLine(reached ? LogLevel::Info : LogLevel::Warning, reached ? "store_regained" : "store_lost").with("store", m_address).with("status", status);
}

void StoreLink::restartWatch()
{
    auto connection = m_waitingWatch.lock();
    if (!connection)
        return;
    m_watchEnded = true;
    connection->close();
}

Awaitable<StoreAnswer> StoreLink::call(platform::StoreRequest request, const char* name)
{
    CallOptions options { &m_callConnection, callTime, name };
    auto answer = co_await exchange(std::move(request), options);
    // The response may have been lost although the store is reachable. A stale read checks that at a tenth of the price.
    if (answer.status == 0) {
        options.name = "probe";
        co_await exchange(platform::probe(), options);
    }
    co_return answer;
}

Awaitable<StoreLink::WatchResult> StoreLink::watch(std::int64_t after)
{
    CallOptions options { &m_watchConnection, watchTime + watchMargin, "watch", true };
    auto answer = co_await exchange(platform::watchChanges(everyKey, after, watchTime), options);
    WatchResult result { answer.status, {} };
    if (!answer.isOk())
        co_return result;
    result.update = platform::decodeChanges(answer.body);
    if (!result.update)
        LogLine(LogLevel::Error, "store_answer_unreadable").with("call", "watch").with("bytes", static_cast<std::int64_t>(answer.body.size()));
    co_return result;
}

Awaitable<StoreLink::WatchResult> StoreLink::readAll()
{
    CallOptions options { &m_watchConnection, callTime, "read" };
    if (!m_partialRead || bootNow() - m_partialRead->begunAt > longestRead)
        m_partialRead = PartialRead { .begunAt = bootNow() };
    auto& update = m_partialRead->update;
    auto& after = m_partialRead->after;
    for (;;) {
        auto answer = co_await exchange(platform::readPage(everyKey, after), options);
        auto page = answer.isOk() ? platform::decodePage(answer.body) : std::nullopt;
        if (!page) {
            LogLine(LogLevel::Warning, "store_read_failed").with("status", answer.status).with("after", after);
            co_return WatchResult { answer.status, {} };
        }
        // Later pages may come from later revisions. The watch continues from the first page's revision, so it misses no change.
        if (update.revision == 0)
            update.revision = page->revision;
        update.changes.insert(update.changes.end(), page->items.begin(), page->items.end());
        if (!page->hasMore || page->items.empty())
            break;
        after = page->items.back().key;
    }
    WatchResult result { 200, std::move(update) };
    m_partialRead.reset();
    co_return result;
}

}
