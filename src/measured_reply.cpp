#include "measured_reply.h"

#include <charconv>

namespace egret {

namespace {

/// Statuses from 400 to 499, except 429, are client errors and spend no error budget.
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kTooManyRequestsStatus = 429;
constexpr std::string_view kStreamEndMarker = "data: [DONE]\n\n";
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

/// Records the measurements of one request when the answer ends or an error is sent.
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
        // A client error counts neither as a good nor as a bad event.
        const bool isClientError = status >= kFirstErrorStatus && status < kFirstServerErrorStatus
                                   && status != kTooManyRequestsStatus;
        this->measurement.age = ageOf(headers);
        if (!isClientError)
            this->record(status < kFirstErrorStatus);
    }

    void start(int status, const std::string &contentType, const HttpHeaders &headers) override
    {
        this->inner->start(status, contentType, headers);
    }

    void write(const std::string &bytes) override
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const TimePoint previousPartAt =
                this->measurement.firstToken ? this->lastPartAt : this->arrivedAt;
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - previousPartAt);
        if (this->measurement.firstToken)
            this->measurement.tokenGaps.push_back(elapsed);
        else
            this->measurement.firstToken = elapsed;
        this->lastPartAt = now;
        this->hasStreamEnd = bytes.ends_with(kStreamEndMarker);
        this->inner->write(bytes);
    }

    void finish() override
    {
        this->inner->finish();
        this->record(this->hasStreamEnd);
    }

    bool gone() const override { return this->inner->gone(); }

    void onClientDisconnected(std::function<void()> work) override
    {
        this->inner->onClientDisconnected(std::move(work));
    }

private:
    void record(bool success)
    {
        // A reply without a route label belongs to no series.
        if (this->isRecorded || this->labels.route.empty())
            return;
        this->isRecorded = true;
        this->measurement.customer = this->labels.customer;
        this->measurement.route = this->labels.route;
        this->measurement.zone = this->labels.zone;
        this->measurement.upstream = this->labels.upstream;
        this->measurement.success = success;
        this->levels.with([this](ServiceLevels &counts) {
            counts.record(this->measurement, currentMinute());
        });
    }

    HttpReplyPtr inner;
    SharedServiceLevels &levels;
    TimePoint arrivedAt;
    TimePoint lastPartAt;
    RequestMeasurement measurement;
    bool hasStreamEnd{ false };
    bool isRecorded{ false };
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
