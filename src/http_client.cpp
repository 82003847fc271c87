#include "http_client.h"

#include <curl/curl.h>

#include <atomic>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace egret {

namespace {

constexpr Milliseconds kPollPeriod = 200ms;
constexpr Milliseconds kConnectTimeout = 1s;
constexpr long kMaxIdleConnections = 64;

/// One call in progress; lives on the client's thread.
struct Transfer
{
    HttpCall call;
    HttpResult result;
    CURL *easy{ nullptr };
    curl_slist *headers{ nullptr };
    bool headTold{ false };

    ~Transfer()
    {
        curl_slist_free_all(this->headers);
        curl_easy_cleanup(this->easy);
    }

    void tellHead()
    {
        if (this->headTold)
            return;
        this->headTold = true;
        long status = 0;
        const char *type = nullptr;
        curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(this->easy, CURLINFO_CONTENT_TYPE, &type);
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
    transfer->tellHead();
    if (transfer->call.onData)
        transfer->call.onData(std::string(data, size * count));
    else
        transfer->result.body.append(data, size * count);
    return size * count;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::string line(data, size * count);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
        const auto begin = line.find_first_not_of(' ', colon + 1);
        const auto end = line.find_last_not_of("\r\n");
        if (begin != std::string::npos && end != std::string::npos && end >= begin)
            transfer->result.headers.emplace_back(line.substr(0, colon),
                                                  line.substr(begin, end - begin + 1));
    }
    return size * count;
}

} // namespace

class HttpClient::Impl
{
public:
    Impl()
    {
        static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
        (void)initialised;
        this->multi = curl_multi_init();
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
        this->thread = std::thread([this] { this->run(); });
    }

    ~Impl()
    {
        this->stopping = true;
        curl_multi_wakeup(this->multi);
        this->thread.join();
        curl_multi_cleanup(this->multi);
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    std::uint64_t start(HttpCall call)
    {
        const std::uint64_t number = ++this->lastNumber;
        {
            const std::lock_guard lock(this->mutex);
            this->starting.emplace_back(number, std::move(call));
        }
        curl_multi_wakeup(this->multi);
        return number;
    }

    void cancel(std::uint64_t number)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->cancelling.push_back(number);
        }
        curl_multi_wakeup(this->multi);
    }

private:
    void run()
    {
        while (!this->stopping) {
            this->takeCommands();
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->takeResults();
            curl_multi_poll(this->multi, nullptr, 0, static_cast<int>(kPollPeriod.count()),
                            nullptr);
        }
        while (!this->transfers.empty())
            this->end(this->transfers.begin()->first, "client stopped", false);
    }

    void takeCommands()
    {
        std::deque<std::pair<std::uint64_t, HttpCall>> calls;
        std::deque<std::uint64_t> cancels;
        {
            const std::lock_guard lock(this->mutex);
            calls.swap(this->starting);
            cancels.swap(this->cancelling);
        }
        for (auto &[number, call] : calls)
            this->begin(number, std::move(call));
        for (const std::uint64_t number : cancels)
            this->end(number, "cancelled", false);
    }

    void begin(std::uint64_t number, HttpCall call)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(call);
        transfer->easy = curl_easy_init();
        CURL *easy = transfer->easy;
        const HttpCall &options = transfer->call;
        for (const auto &[name, value] : options.headers)
            transfer->headers = curl_slist_append(transfer->headers, (name + ": " + value).c_str());
        transfer->headers = curl_slist_append(transfer->headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_URL, options.url.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, options.method.c_str());
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
        if (!options.body.empty() || options.method == "POST" || options.method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(options.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, options.body.c_str());
        }
        if (options.method == "HEAD")
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(kConnectTimeout.count()));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(options.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        // A reused connection that turns out dead makes libcurl send again by
        // itself; a fresh one does not.
        if (options.freshConnection) {
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
        curl_easy_setopt(easy, CURLOPT_PRIVATE, reinterpret_cast<void *>(number));
        curl_multi_add_handle(this->multi, easy);
        this->transfers[number] = std::move(transfer);
    }

    void takeResults()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            char *number = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &number);
            const CURLcode code = message->data.result;
            this->end(reinterpret_cast<std::uint64_t>(number), curl_easy_strerror(code),
                      code == CURLE_OK);
        }
    }

    void end(std::uint64_t number, const std::string &why, bool complete)
    {
        const auto found = this->transfers.find(number);
        if (found == this->transfers.end())
            return;
        const auto transfer = std::move(found->second);
        this->transfers.erase(found);
        long sent = 0;
        curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &sent);
        if (complete)
            transfer->tellHead();
        curl_multi_remove_handle(this->multi, transfer->easy);
        transfer->result.complete = complete;
        transfer->result.requestSent = sent > 0;
        transfer->result.error = complete ? "" : why;
        if (transfer->call.onDone)
            transfer->call.onDone(std::move(transfer->result));
    }

    CURLM *multi{ nullptr };
    std::atomic<bool> stopping{ false };
    std::atomic<std::uint64_t> lastNumber{ 0 };
    std::mutex mutex;
    std::deque<std::pair<std::uint64_t, HttpCall>> starting;
    std::deque<std::uint64_t> cancelling;
    std::map<std::uint64_t, std::unique_ptr<Transfer>> transfers;
    std::thread thread;
};

HttpClient::HttpClient() : impl(std::make_unique<Impl>()) {}

HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::start(HttpCall call)
{
    return this->impl->start(std::move(call));
}

void HttpClient::cancel(std::uint64_t call)
{
    this->impl->cancel(call);
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
