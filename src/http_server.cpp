#include "http_server.h"

#include "log.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

namespace egret {

namespace {

constexpr std::size_t kMaxUrlBytes = 8192;
constexpr std::size_t kMaxHeaderNameBytes = 256;
constexpr std::size_t kMaxHeaderValueBytes = 16384;
constexpr std::size_t kMaxHeaders = 64;

/// State shared by the replies of one server.
struct SharedState
{
    std::atomic<std::size_t> unansweredCount{ 0 };
    std::atomic<bool> isKeepAliveDisabled{ false };
};

/// Counts a request as unanswered until its response is written or dropped.
class UnansweredScope
{
public:
    explicit UnansweredScope(std::shared_ptr<SharedState> shared) : shared(std::move(shared))
    {
        ++this->shared->unansweredCount;
    }
    ~UnansweredScope() { --this->shared->unansweredCount; }
    UnansweredScope(const UnansweredScope &) = delete;
    UnansweredScope &operator=(const UnansweredScope &) = delete;

    bool isKeepAliveDisabled() const { return this->shared->isKeepAliveDisabled; }

private:
    std::shared_ptr<SharedState> shared;
};

/// Runs the callback registered for a connection when the connection closes.
class CloseListener
{
public:
    void setCallback(std::uint64_t connectionId, std::weak_ptr<std::function<void()>> callback)
    {
        const std::lock_guard lock(this->mutex);
        this->callbacks[connectionId] = std::move(callback);
    }

    void state_changed(const restinio::connection_state::notice_t &notice) noexcept
    {
        if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            return;
        std::shared_ptr<std::function<void()>> callback;
        {
            const std::lock_guard lock(this->mutex);
            const auto found = this->callbacks.find(notice.connection_id());
            if (found == this->callbacks.end())
                return;
            callback = found->second.lock();
            this->callbacks.erase(found);
        }
        if (callback)
            (*callback)();
    }

private:
    std::mutex mutex;
    std::map<std::uint64_t, std::weak_ptr<std::function<void()>>> callbacks;
};

struct ServerTraits
    : public restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>
{
    using connection_state_listener_t = CloseListener;
    // RESTinio requires this name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<ServerTraits>;
using ChunkedBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

class RestinioReply : public HttpReply, public std::enable_shared_from_this<RestinioReply>
{
public:
    RestinioReply(restinio::request_handle_t request, std::shared_ptr<CloseListener> closeListener,
                  std::shared_ptr<UnansweredScope> unansweredScope)
        : request(std::move(request)), closeListener(std::move(closeListener)),
          unansweredScope(std::move(unansweredScope))
    {}

    void send(int status, const std::string &contentType, const std::string &body,
              const HttpHeaders &headers) override
    {
        const std::lock_guard lock(this->mutex);
        if (this->isStarted)
            return;
        this->isStarted = true;
        auto response = this->request->create_response(statusLine(status));
        response.append_header(restinio::http_field::content_type, contentType);
        for (const auto &[name, value] : headers)
            response.append_header(name, value);
        response.set_body(body);
        if (this->unansweredScope->isKeepAliveDisabled())
            response.connection_close();
        response.done([unansweredScope = std::move(this->unansweredScope)](const auto &) {});
    }

    void start(int status, const std::string &contentType, const HttpHeaders &headers) override
    {
        const std::lock_guard lock(this->mutex);
        if (this->isStarted)
            return;
        this->isStarted = true;
        this->stream.emplace(
                this->request->create_response<restinio::chunked_output_t>(statusLine(status)));
        this->stream->append_header(restinio::http_field::content_type, contentType);
        this->stream->append_header(restinio::http_field::cache_control, "no-store");
        for (const auto &[name, value] : headers)
            this->stream->append_header(name, value);
        if (this->unansweredScope->isKeepAliveDisabled())
            this->stream->connection_close();
        this->stream->flush();
    }

    void write(const std::string &bytes) override
    {
        if (bytes.empty())
            return;
        const std::lock_guard lock(this->mutex);
        if (!this->stream)
            return;
        this->unsentBytes += bytes.size();
        this->stream->append_chunk(bytes);
        this->stream->flush([weak = this->weak_from_this(),
                             size = bytes.size()](const restinio::asio_ns::error_code &error) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->unsentBytes -= size;
            if (error)
                self->handleDisconnect();
        });
    }

    void finish() override
    {
        const std::lock_guard lock(this->mutex);
        if (!this->stream)
            return;
        this->stream->done([unansweredScope = std::move(this->unansweredScope)](const auto &) {});
        this->stream.reset();
        this->isFinished = true;
    }

    std::size_t pendingBytes() const override { return this->unsentBytes; }

    bool gone() const override
    {
        const std::lock_guard lock(this->mutex);
        return this->isConnectionClosed;
    }

    void onClientDisconnected(std::function<void()> callback) override
    {
        {
            const std::lock_guard lock(this->mutex);
            this->disconnectHandler = std::move(callback);
        }
        this->closeHandler =
                std::make_shared<std::function<void()>>([weak = this->weak_from_this()] {
                    if (const auto self = weak.lock())
                        self->handleDisconnect();
                });
        this->closeListener->setCallback(this->request->connection_id(), this->closeHandler);
    }

private:
    static restinio::http_status_line_t statusLine(int status)
    {
        return restinio::http_status_line_t(
                restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
                status < 400 ? "OK" : "Error");
    }

    void handleDisconnect()
    {
        std::function<void()> callback;
        {
            const std::lock_guard lock(this->mutex);
            if (this->isConnectionClosed || this->isFinished)
                return;
            this->isConnectionClosed = true;
            callback = std::move(this->disconnectHandler);
        }
        if (callback)
            callback();
    }

    restinio::request_handle_t request;
    std::shared_ptr<CloseListener> closeListener;
    /// Moved into the completion handler of the last write, so the request counts as unanswered
    /// until then.
    std::shared_ptr<UnansweredScope> unansweredScope;
    mutable std::mutex mutex;
    bool isStarted{ false };
    bool isFinished{ false };
    bool isConnectionClosed{ false };
    std::atomic<std::size_t> unsentBytes{ 0 };
    std::optional<ChunkedBuilder> stream; ///< set from `start` to `finish`
    std::function<void()> disconnectHandler;
    /// Calls `handleDisconnect`; CloseListener holds a weak pointer to this callback.
    std::shared_ptr<std::function<void()>> closeHandler;
};

HttpRequest toRequest(const restinio::request_handle_t &requestHandle)
{
    HttpRequest request{ .method = std::string(requestHandle->header().method().c_str()),
                         .target = requestHandle->header().request_target(),
                         .path = std::string(requestHandle->header().path()),
                         .body = requestHandle->body() };
    requestHandle->header().for_each_field([&request](const auto &field) {
        request.headers.emplace_back(std::string(field.name()), std::string(field.value()));
    });
    return request;
}

} // namespace

class HttpServer::Impl
{
public:
    Impl(WorkerPool &pool, HttpServerOptions serverOptions, HttpHandler handler)
        : options(std::move(serverOptions)), closeListener(std::make_shared<CloseListener>()),
          shared(std::make_shared<SharedState>()),
          server(restinio::external_io_context(pool.context()), [this, &handler](auto &settings) {
              this->configure(settings, std::move(handler));
          })
    {}

    bool start(Reason<int> &reason)
    {
        try {
            this->server.open_sync();
            this->isOpen = true;
            return true;
        } catch (const std::exception &error) {
            reason.detail = error.what();
            return false;
        }
    }

    void stop()
    {
        if (!this->isOpen)
            return;
        this->isOpen = false;
        try {
            this->server.close_sync();
        } catch (const std::exception &error) {
            logWarn("HTTP server failed to close", { { "error", error.what() } });
        }
    }

    std::shared_ptr<SharedState> sharedState() const { return this->shared; }

private:
    template <class Settings> void configure(Settings &settings, HttpHandler handler)
    {
        restinio::incoming_http_msg_limits_t limits;
        limits.max_url_size(kMaxUrlBytes);
        limits.max_field_name_size(kMaxHeaderNameBytes);
        limits.max_field_value_size(kMaxHeaderValueBytes);
        limits.max_field_count(kMaxHeaders);
        limits.max_body_size(this->options.maxBodyBytes);
        settings.address(this->options.listen.address)
                .port(this->options.listen.port)
                .incoming_http_msg_limits(limits)
                .read_next_http_message_timelimit(this->options.readTimeout)
                .write_http_response_timelimit(this->options.readTimeout)
                .handle_request_timeout(this->options.responseTimeout)
                .max_pipelined_requests(1)
                // Disables Nagle's algorithm, which would delay small parts until earlier parts
                // are acknowledged.
                .socket_options_setter([](auto &socket) {
                    socket.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
                })
                .max_parallel_connections(this->options.maxConnections)
                .connection_state_listener(this->closeListener)
                .concurrent_accepts_count(2)
                .request_handler([handler = std::move(handler), closeListener = this->closeListener,
                                  shared = this->shared](restinio::request_handle_t requestHandle) {
                    auto reply = std::make_shared<RestinioReply>(
                            requestHandle, closeListener,
                            std::make_shared<UnansweredScope>(shared));
                    handler(toRequest(requestHandle), reply);
                    return restinio::request_accepted();
                });
    }

    HttpServerOptions options;
    std::shared_ptr<CloseListener> closeListener;
    std::shared_ptr<SharedState> shared;
    Server server;
    bool isOpen{ false };
};

HttpServer::HttpServer(WorkerPool &pool, HttpServerOptions options, HttpHandler handler)
    : impl(std::make_unique<Impl>(pool, std::move(options), std::move(handler)))
{}

HttpServer::~HttpServer()
{
    this->stop();
}

bool HttpServer::start(Reason<int> &reason)
{
    return this->impl->start(reason);
}

void HttpServer::disableKeepAlive()
{
    this->impl->sharedState()->isKeepAliveDisabled = true;
}

std::size_t HttpServer::unansweredCount() const
{
    return this->impl->sharedState()->unansweredCount;
}

void HttpServer::stop()
{
    this->impl->stop();
}

} // namespace egret
