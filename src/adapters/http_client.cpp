#include "adapters/http_client.h"

#include "adapters/callback_guard.h"
#include "core/check.h"
#include "core/requests/response_syntax.h"

#include <absl/strings/ascii.h>
#include <atomic>
#include <curl/curl.h>
#include <mutex>
#include <thread>

namespace skylarkhitch {

namespace {

    constexpr long maxIdleConnections = 512;
    // Size of the receive buffer of each call in flight.
    constexpr long receiveBufferBytes = 4096;
    constexpr int pollTimeoutMs = 500;
    // Limit of a body that is collected for onEnd; a call whose body exceeds it ends with Cut.
    constexpr std::size_t maxBodyBytes = 64 << 20;

    struct CurlDeleter {
        void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };

    // One call in flight. Accessed only on the client's thread once it has been handed over.
    struct Transfer {
        std::uint64_t id = 0;
        HttpCall call;
        HttpCallbacks callbacks;
        HttpResult result;
        std::unique_ptr<CURL, CurlDeleter> easy;
        std::unique_ptr<curl_slist, CurlDeleter> headers;
        // Number of times that libcurl was about to send the request.
        int sends = 0;
        // Whether the empty line after the head of the final response was received. libcurl does not report an error if the
        // connection is closed before it.
        bool headEnded = false;
    };

    // libcurl calls this once a connection is established and before it sends the request, including each time it resends it.
    int beforeSend(void* userData, char*, char*, int, int)
    {
        auto& transfer = *static_cast<Transfer*>(userData);
        ++transfer.sends;
        return transfer.sends > 1 && !transfer.call.mayResend ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
    }

    int statusOf(const Transfer& transfer)
    {
        long status = 0;
        curl_easy_getinfo(transfer.easy.get(), CURLINFO_RESPONSE_CODE, &status);
        return static_cast<int>(status);
    }

    std::size_t receiveBody(Transfer& transfer, const char* data, std::size_t size)
    {
        if (transfer.callbacks.onData) {
            transfer.callbacks.onData(statusOf(transfer), { data, size });
            return size;
        }
        if (transfer.result.body.size() + size > maxBodyBytes)
            return 0;
        transfer.result.body.append(data, size);
        return size;
    }

    // A callback that takes less than all bytes ends the transfer.
    std::size_t onBody(char* data, std::size_t, std::size_t size, void* userData)
    {
        std::size_t taken = 0;
        runGuarded("http_client_body", [&] { taken = receiveBody(*static_cast<Transfer*>(userData), data, size); });
        return taken;
    }

    // libcurl passes complete lines: those of interim responses, of the final one, and of its trailers. Returns false for a line that
    // no response has, which libcurl may allow.
    bool receiveHeadLine(Transfer& transfer, const std::string& line)
    {
        if (line == "\r\n" || line == "\n") {
            transfer.headEnded = transfer.headEnded || statusOf(transfer) >= firstFinalStatus;
            if (!transfer.headEnded)
                transfer.result.headers.clear();
            return true;
        }
        bool isStatusLine = !transfer.headEnded && line.starts_with("HTTP/");
        if (isStatusLine)
            return isResponseStatus(statusOf(transfer));
        bool isFolded = line.starts_with(' ') || line.starts_with('\t');
        if (isFolded)
            return true;
        auto colon = line.find(':');
        if (colon == std::string::npos || !isFieldName(std::string_view(line).substr(0, colon)))
            return false;
        auto value = line.substr(colon + 1);
        absl::StripAsciiWhitespace(&value);
        if (!transfer.headEnded)
            transfer.result.headers[absl::AsciiStrToLower(line.substr(0, colon))] = value;
        return true;
    }

    // A callback that takes less than all bytes ends the transfer.
    std::size_t onHeader(char* data, std::size_t, std::size_t size, void* userData)
    {
        bool isValid = false;
        runGuarded("http_client_head", [&] { isValid = receiveHeadLine(*static_cast<Transfer*>(userData), std::string(data, size)); });
        return isValid ? size : 0;
    }

    // Whether the connection ended before all of the request was sent, and the response has no other end than that. Only a refusal is
    // complete then.
    bool isCutByEnd(const Transfer& transfer)
    {
        const auto& headers = transfer.result.headers;
        auto status = statusOf(transfer);
        bool endsWithConnection = !headers.contains("content-length") && !headers.contains("transfer-encoding") && status != 204 && status != 304;
        curl_off_t sent = 0;
        curl_easy_getinfo(transfer.easy.get(), CURLINFO_SIZE_UPLOAD_T, &sent);
        return transfer.call.body && endsWithConnection && !isErrorStatus(status) && sent < static_cast<curl_off_t>(transfer.call.body->size());
    }

    // A failed reconnect does not mean that the request was not sent: it may have been sent on an earlier connection. NotSent
    // is therefore derived from the number of sends and not from the error code.
    HttpEnd httpEndFor(const Transfer& transfer, CURLcode code)
    {
        if (code == CURLE_OK && transfer.headEnded && !isCutByEnd(transfer))
            return HttpEnd::Complete;
        if (transfer.sends == 0)
            return HttpEnd::NotSent;
        return code == CURLE_OPERATION_TIMEDOUT ? HttpEnd::TimedOut : HttpEnd::Cut;
    }

}

class HttpClient::Impl {
public:
    Impl()
    {
        static const auto initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
        USAGE_CHECK(initialized == CURLE_OK) << "libcurl failed to initialize";
        m_multi = curl_multi_init();
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
        m_thread = std::thread([this] { run(); });
    }

    ~Impl()
    {
        m_stopping = true;
        curl_multi_wakeup(m_multi);
        m_thread.join();
        for (auto& [id, it] : m_transfers)
            curl_multi_remove_handle(m_multi, it->easy.get());
        m_transfers.clear();
        curl_multi_cleanup(m_multi);
    }

    CallId start(HttpCall call, HttpCallbacks callbacks)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(call);
        transfer->callbacks = std::move(callbacks);
        std::lock_guard lock(m_mutex);
        transfer->id = ++m_lastId;
        m_pendingStarts.push_back(std::move(transfer));
        curl_multi_wakeup(m_multi);
        return m_lastId;
    }

    void cancel(CallId id)
    {
        std::lock_guard lock(m_mutex);
        m_pendingCancels.push_back(id);
        curl_multi_wakeup(m_multi);
    }

private:
    void run()
    {
        while (!m_stopping) {
            runGuarded("http_client", [this] {
                processPendingCalls();
                int running = 0;
                curl_multi_perform(m_multi, &running);
                completeTransfers();
            });
            curl_multi_poll(m_multi, nullptr, 0, pollTimeoutMs, nullptr);
        }
    }

    void processPendingCalls()
    {
        std::vector<std::unique_ptr<Transfer>> starting;
        std::vector<CallId> cancelled;
        {
            std::lock_guard lock(m_mutex);
            starting.swap(m_pendingStarts);
            cancelled.swap(m_pendingCancels);
        }
        for (auto& it : starting)
            startTransfer(std::move(it));
        for (auto id : cancelled) {
            auto it = m_transfers.find(id);
            if (it == m_transfers.end())
                continue;
            curl_multi_remove_handle(m_multi, it->second->easy.get());
            m_transfers.erase(it);
        }
    }

    void startTransfer(std::unique_ptr<Transfer> transfer)
    {
        transfer->easy.reset(curl_easy_init());
        auto* easy = transfer->easy.get();
        const auto& call = transfer->call;
        curl_easy_setopt(easy, CURLOPT_URL, ("http://" + call.address + call.path).c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_easy_setopt(easy, CURLOPT_NOBODY, call.method == "HEAD" ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::min(call.connectTimeout, call.timeout).count()));
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, receiveBufferBytes);
        if (call.freshConnection) {
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
        if (call.body) {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body->size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body->data());
        }
        setHeaders(*transfer);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &beforeSend);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
        curl_multi_add_handle(m_multi, easy);
        auto id = transfer->id;
        m_transfers[id] = std::move(transfer);
    }

    static void setHeaders(Transfer& transfer)
    {
        // Disables waiting for "100 Continue". Without an explicit Content-Type libcurl would send the type of a form.
        auto* list = curl_slist_append(nullptr, "Expect:");
        bool hasType = false;
        for (const auto& it : transfer.call.headers) {
            hasType = hasType || absl::AsciiStrToLower(it.name) == "content-type";
            list = curl_slist_append(list, (it.name + ": " + it.value).c_str());
        }
        if (!hasType)
            list = curl_slist_append(list, "Content-Type: application/json");
        transfer.headers.reset(list);
        curl_easy_setopt(transfer.easy.get(), CURLOPT_HTTPHEADER, list);
    }

    void completeTransfers()
    {
        int remaining = 0;
        while (auto* message = curl_multi_info_read(m_multi, &remaining)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            auto* easy = message->easy_handle;
            auto code = message->data.result;
            Transfer* transfer = nullptr;
            curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
            transfer->result.status = statusOf(*transfer);
            transfer->result.end = httpEndFor(*transfer, code);
            curl_multi_remove_handle(m_multi, easy);
            auto owned = std::move(m_transfers[transfer->id]);
            m_transfers.erase(owned->id);
            runGuarded("http_client_end", [&] { owned->callbacks.onEnd(std::move(owned->result)); });
        }
    }

    CURLM* m_multi = nullptr;
    std::thread m_thread;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::uint64_t m_lastId = 0;
    std::vector<std::unique_ptr<Transfer>> m_pendingStarts;
    std::vector<CallId> m_pendingCancels;
    std::map<CallId, std::unique_ptr<Transfer>> m_transfers;
};

HttpClient::HttpClient()
    : m_impl(std::make_unique<Impl>())
{
}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::start(HttpCall call, HttpCallbacks callbacks)
{
    return m_impl->start(std::move(call), std::move(callbacks));
}

void HttpClient::cancel(CallId id) { m_impl->cancel(id); }

}
