#include "measured_reply.h"

#include <charconv>

namespace egret {

namespace {

constexpr int kFirstErrorStatus = 400;
/// Statuses that the caller caused; they spend no budget of ours.
constexpr int kFirstServerError = 500;
constexpr int kTooManyRequests = 429;
constexpr std::string_view kStreamEnd = "data: [DONE]\n\n";
constexpr const char *kAgeHeader = "Age";

std::optional<Milliseconds> ageOf(const HttpHeaders &headers)
{
    const std::string text = headerValue(headers, kAgeHeader);
    std::int64_t seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || parsed.ec != std::errc{})
        return std::nullopt;
    return Seconds(seconds);
}

/// Counts one request when its answer ends, or when nobody will give one.
class MeasuredReply : public HttpReply
{
public:
    MeasuredReply(HttpReplyPtr inner, SharedServiceLevels &levels)
        : inner(std::move(inner)), levels(levels), arrivedAt(std::chrono::steady_clock::now())
    {}

    void send(int status, const std::string &contentType, const std::string &body,
              const HttpHeaders &headers) override
    {
        this->inner->send(status, contentType, body, headers);
        // A mistake of the caller says nothing about the service.
        const bool isCallersFault = status >= kFirstErrorStatus && status < kFirstServerError
                                    && status != kTooManyRequests;
        this->result.age = ageOf(headers);
        if (!isCallersFault)
            this->count(status < kFirstErrorStatus);
    }

    void start(int status, const std::string &contentType, const HttpHeaders &headers) override
    {
        this->inner->start(status, contentType, headers);
    }

    void write(const std::string &bytes) override
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const TimePoint since = this->result.firstToken ? this->lastPartAt : this->arrivedAt;
        const auto passed = std::chrono::duration_cast<Milliseconds>(now - since);
        if (this->result.firstToken)
            this->result.tokenGaps.push_back(passed);
        else
            this->result.firstToken = passed;
        this->lastPartAt = now;
        this->hasEnd = bytes.ends_with(kStreamEnd);
        this->inner->write(bytes);
    }

    void finish() override
    {
        this->inner->finish();
        this->count(this->hasEnd);
    }

    bool gone() const override { return this->inner->gone(); }

    void onClientDisconnected(std::function<void()> work) override
    {
        this->inner->onClientDisconnected(std::move(work));
    }

private:
    void count(bool success)
    {
        if (this->counted || this->labels.route.empty())
            return;
        this->counted = true;
        this->result.customer = this->labels.customer;
        this->result.route = this->labels.route;
        this->result.zone = this->labels.zone;
        this->result.upstream = this->labels.upstream;
        this->result.success = success;
        this->levels.with(
                [this](ServiceLevels &counts) { counts.record(this->result, currentMinute()); });
    }

    HttpReplyPtr inner;
    SharedServiceLevels &levels;
    TimePoint arrivedAt;
    TimePoint lastPartAt;
    ServeRecord result;
    bool hasEnd{ false };
    bool counted{ false };
};

} // namespace

HttpReplyPtr measuredReply(HttpReplyPtr inner, SharedServiceLevels &levels)
{
    return std::make_shared<MeasuredReply>(std::move(inner), levels);
}

MinuteStamp currentMinute()
{
    return std::chrono::floor<std::chrono::minutes>(std::chrono::system_clock::now());
}

} // namespace egret
