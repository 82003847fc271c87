#include "http_client.h"

#include "buffer_budget.h"
#include "http_body.h"
#include "http_head_scanner.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace egret {

namespace {

/// Longest wait for network events; a new or cancelled call ends the wait earlier.
constexpr Milliseconds kPollTimeout = 200ms;
constexpr Milliseconds kConnectTimeout = 1s;
constexpr long kMaxIdleConnections = 64;
constexpr std::size_t kMaxHeadBytes = 64U << 10U;
constexpr int kFirstFinalStatus = 200;
constexpr const char *kTooMuchBuffered = "too-large-together";

/// Memory that calls buffer; used only on the client's thread.
struct Buffers
{
    explicit Buffers(std::size_t maxBytes)
        : budget({ .maxBytesEach = maxBytes, .maxBytesTotal = maxBytes })
    {}

    /// Sets what a call buffers. Returns false when this call must end because it buffers the most
    /// and all together buffer too much.
    bool set(std::uint64_t callId, std::size_t bytes)
    {
        const auto excessive = this->budget.set(callId, bytes);
        if (!excessive)
            return true;
        this->budget.set(*excessive, 0);
        if (*excessive != callId)
            this->excessiveCalls.push_back(*excessive);
        return *excessive != callId;
    }

    BufferBudget<std::uint64_t> budget;
    /// Calls to end. libcurl doesn't let a callback of one transfer end another one.
    std::vector<std::uint64_t> excessiveCalls;
};

/// One call in progress; used only on the client's thread.
struct Transfer
{
    Transfer(HttpCall &&call, std::uint64_t callId, Buffers &buffers)
        : call(std::move(call)), callId(callId), buffers(buffers)
    {}

    HttpCall call;
    const std::uint64_t callId;
    Buffers &buffers;
    HttpResult result;
    CURL *curlEasy{ nullptr };
    curl_slist *headers{ nullptr };
    bool headDelivered{ false };
    HttpHeadScanner scanner{ HttpMessageKind::response };
    bool isInTrailer{ false };
    std::size_t headBytes{ 0 }; ///< bytes of heads received, with interim ones
    std::size_t bodyBytes{ 0 }; ///< bytes of the body received
    std::string fault;          ///< why the response can't be used; empty for none

    ~Transfer()
    {
        this->buffers.set(this->callId, 0);
        curl_slist_free_all(this->headers);
        curl_easy_cleanup(this->curlEasy);
    }

    /// Handles a line of a head or trailer, which libcurl passes on with nearly any content.
    /// Returns false, and sets the fault, when the line is not valid.
    bool onHeadLine(std::string_view line)
    {
        if (this->scanner.isComplete() && !this->isInTrailer) {
            this->isInTrailer = this->scanner.status() >= kFirstFinalStatus;
            if (this->isInTrailer) {
                this->scanner.beginTrailer();
            } else {
                this->scanner.reset();
                this->result.headers.clear();
            }
        }
        const bool isField = this->scanner.hasStarted() && !this->isInTrailer;
        if (this->scanner.scan(line) != line.size())
            this->fault = httpDefectName(this->scanner.defect());
        else if (this->scanner.isComplete() && !this->isInTrailer && !this->hasSoundFraming())
            this->fault = httpDefectName(HttpDefect::framing);
        else if (isField)
            this->addHeader(line);
        return this->fault.empty() && this->countBuffers();
    }

    /// Counts what this call buffers. Returns false, and sets the fault, when that is too much.
    bool countBuffers()
    {
        const std::size_t headerBytes =
                this->headBytes + this->result.headers.capacity() * sizeof(HttpHeaders::value_type);
        if (!this->buffers.set(this->callId, headerBytes + this->result.body.size()))
            this->fault = kTooMuchBuffered;
        return this->fault.empty();
    }

    /// Adds a valid line, unless it is the blank one that ends the head, to the headers.
    void addHeader(std::string_view line)
    {
        constexpr std::string_view blanks = " \t\r\n";
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            return;
        const std::string_view name = line.substr(0, colon);
        line.remove_prefix(colon + 1);
        const auto first = line.find_first_not_of(blanks);
        line.remove_prefix(std::min(first, line.size()));
        line = line.substr(0, line.find_last_not_of(blanks) + 1);
        this->result.headers.emplace_back(name, line);
    }

    /// Checks the framing of a complete head.
    bool hasSoundFraming() const
    {
        return bodyFraming(this->result.headers, { .minorVersion = this->scanner.minorVersion(),
                                                   .status = this->scanner.status(),
                                                   .answersHead = this->call.method == "HEAD" })
                .has_value();
    }

    /// Calls `onHeaders` and `onHead` once.
    void deliverHead()
    {
        if (this->headDelivered)
            return;
        this->headDelivered = true;
        long status = 0;
        const char *type = nullptr;
        curl_easy_getinfo(this->curlEasy, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(this->curlEasy, CURLINFO_CONTENT_TYPE, &type);
        this->result.status = static_cast<int>(status);
        this->result.contentType = type == nullptr ? "" : type;
        if (this->call.onHeaders)
            this->call.onHeaders(this->result.headers);
        if (this->call.onHead)
            this->call.onHead(this->result.status, this->result.contentType);
    }
};

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    transfer->deliverHead();
    transfer->bodyBytes += size * count;
    if (transfer->bodyBytes > transfer->call.maxBodyBytes) {
        transfer->fault = "body-too-large";
        return 0; // libcurl then ends the transfer with an error
    }
    if (transfer->call.onData)
        transfer->call.onData(std::string(data, size * count));
    else
        transfer->result.body.append(data, size * count);
    return transfer->countBuffers() ? size * count : 0;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    transfer->headBytes += size * count;
    if (transfer->headBytes > kMaxHeadBytes) {
        transfer->fault = "head-too-large";
        return 0;
    }
    return transfer->onHeadLine({ data, size * count }) ? size * count : 0;
}

} // namespace

class HttpClient::Impl
{
public:
    explicit Impl(const HttpClientOptions &options) : buffers(options.maxBufferedBytes)
    {
        static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
        (void)initialised;
        this->curlMulti = curl_multi_init();
        curl_multi_setopt(this->curlMulti, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
        this->thread = std::thread([this] { this->run(); });
    }

    ~Impl()
    {
        this->stopping = true;
        curl_multi_wakeup(this->curlMulti);
        this->thread.join();
        curl_multi_cleanup(this->curlMulti);
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    std::uint64_t start(HttpCall call)
    {
        const std::uint64_t callId = ++this->lastCallId;
        {
            const std::lock_guard lock(this->mutex);
            this->pendingStarts.emplace_back(callId, std::move(call));
        }
        curl_multi_wakeup(this->curlMulti);
        return callId;
    }

    void cancel(std::uint64_t callId)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->pendingCancels.push_back(callId);
        }
        curl_multi_wakeup(this->curlMulti);
    }

private:
    void run()
    {
        while (!this->stopping) {
            this->processCommands();
            int running = 0;
            curl_multi_perform(this->curlMulti, &running);
            this->processResults();
            for (const std::uint64_t callId : std::exchange(this->buffers.excessiveCalls, {}))
                this->endTransfer(callId, CURLE_WRITE_ERROR, kTooMuchBuffered);
            curl_multi_poll(this->curlMulti, nullptr, 0, static_cast<int>(kPollTimeout.count()),
                            nullptr);
        }
        while (!this->transfers.empty())
            this->endTransfer(this->transfers.begin()->first, CURLE_ABORTED_BY_CALLBACK,
                              "client stopped");
    }

    void processCommands()
    {
        std::deque<std::pair<std::uint64_t, HttpCall>> calls;
        std::deque<std::uint64_t> cancels;
        {
            const std::lock_guard lock(this->mutex);
            calls.swap(this->pendingStarts);
            cancels.swap(this->pendingCancels);
        }
        for (auto &[callId, call] : calls)
            this->beginTransfer(callId, std::move(call));
        for (const std::uint64_t callId : cancels)
            this->endTransfer(callId, CURLE_ABORTED_BY_CALLBACK, "cancelled");
    }

    void beginTransfer(std::uint64_t callId, HttpCall call)
    {
        auto transfer = std::make_unique<Transfer>(std::move(call), callId, this->buffers);
        transfer->curlEasy = curl_easy_init();
        CURL *curlEasy = transfer->curlEasy;
        const HttpCall &options = transfer->call;
        for (const auto &[name, value] : options.headers)
            transfer->headers = curl_slist_append(transfer->headers, (name + ": " + value).c_str());
        // Removes the Expect header that libcurl adds by default, so libcurl doesn't wait for
        // status 100 (Continue) before sending a body.
        transfer->headers = curl_slist_append(transfer->headers, "Expect:");
        curl_easy_setopt(curlEasy, CURLOPT_URL, options.url.c_str());
        curl_easy_setopt(curlEasy, CURLOPT_CUSTOMREQUEST, options.method.c_str());
        curl_easy_setopt(curlEasy, CURLOPT_HTTPHEADER, transfer->headers);
        if (!options.body.empty() || options.method == "POST" || options.method == "PUT") {
            curl_easy_setopt(curlEasy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(options.body.size()));
            curl_easy_setopt(curlEasy, CURLOPT_POSTFIELDS, options.body.c_str());
        }
        if (options.method == "HEAD")
            curl_easy_setopt(curlEasy, CURLOPT_NOBODY, 1L);
        curl_easy_setopt(curlEasy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(curlEasy, CURLOPT_PROXY, "");
        curl_easy_setopt(curlEasy, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(kConnectTimeout.count()));
        curl_easy_setopt(curlEasy, CURLOPT_TIMEOUT_MS, static_cast<long>(options.timeout.count()));
        curl_easy_setopt(curlEasy, CURLOPT_WRITEFUNCTION, onBody);
        curl_easy_setopt(curlEasy, CURLOPT_WRITEDATA, transfer.get());
        curl_easy_setopt(curlEasy, CURLOPT_HEADERFUNCTION, onHeader);
        curl_easy_setopt(curlEasy, CURLOPT_HEADERDATA, transfer.get());
        curl_easy_setopt(curlEasy, CURLOPT_TCP_NODELAY, 1L);
        // libcurl resends a request when the server has closed a reused connection, but never
        // resends a request on a new connection.
        if (options.freshConnection) {
            curl_easy_setopt(curlEasy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(curlEasy, CURLOPT_FORBID_REUSE, 1L);
        }
        curl_easy_setopt(curlEasy, CURLOPT_PRIVATE, reinterpret_cast<void *>(callId));
        curl_multi_add_handle(this->curlMulti, curlEasy);
        this->transfers[callId] = std::move(transfer);
    }

    void processResults()
    {
        int remainingMessages = 0;
        while (const CURLMsg *message = curl_multi_info_read(this->curlMulti, &remainingMessages)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            char *callId = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &callId);
            const CURLcode code = message->data.result;
            this->endTransfer(reinterpret_cast<std::uint64_t>(callId), code,
                              curl_easy_strerror(code));
        }
    }

    void endTransfer(std::uint64_t callId, CURLcode code, const std::string &error)
    {
        const bool complete = code == CURLE_OK;
        const auto found = this->transfers.find(callId);
        if (found == this->transfers.end())
            return;
        const auto transfer = std::move(found->second);
        this->transfers.erase(found);
        long sentBytes = 0;
        curl_easy_getinfo(transfer->curlEasy, CURLINFO_REQUEST_SIZE, &sentBytes);
        if (complete)
            transfer->deliverHead();
        curl_multi_remove_handle(this->curlMulti, transfer->curlEasy);
        transfer->result.complete = complete;
        transfer->result.requestSent = sentBytes > 0;
        if (!complete) {
            transfer->result.error = transfer->fault.empty() ? error : transfer->fault;
            transfer->result.isBroken = transfer->headBytes > 0 || code == CURLE_WEIRD_SERVER_REPLY
                                        || code == CURLE_UNSUPPORTED_PROTOCOL; // no status line
        }
        if (transfer->call.onDone)
            transfer->call.onDone(std::move(transfer->result));
    }

    CURLM *curlMulti{ nullptr };
    std::atomic<bool> stopping{ false };
    std::atomic<std::uint64_t> lastCallId{ 0 };
    std::mutex mutex;
    std::deque<std::pair<std::uint64_t, HttpCall>> pendingStarts;
    std::deque<std::uint64_t> pendingCancels;
    Buffers buffers;
    std::map<std::uint64_t, std::unique_ptr<Transfer>> transfers;
    std::thread thread;
};

HttpClient::HttpClient(HttpClientOptions options) : impl(std::make_unique<Impl>(options)) {}

HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::start(HttpCall call)
{
    return this->impl->start(std::move(call));
}

void HttpClient::cancel(std::uint64_t callId)
{
    this->impl->cancel(callId);
}

HttpResult HttpClient::callAndWait(HttpCall call)
{
    auto done = std::make_shared<std::promise<HttpResult>>();
    call.onDone = [done](HttpResult &&result) { done->set_value(std::move(result)); };
    auto future = done->get_future();
    this->start(std::move(call));
    return future.get();
}

} // namespace egret
