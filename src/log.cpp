#include "log.h"

#include "types.h"

#include <log4cplus/appender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <fcntl.h>
#include <unistd.h>

namespace egret {

namespace {

/// Formats a log event as one JSON object. The message is already a JSON object with
/// the event and its fields; the layout adds the time, the level and the identity.
class JsonLayout : public log4cplus::Layout
{
public:
    explicit JsonLayout(LogIdentity identity) : identity(std::move(identity)) {}

    void formatAndAppend(log4cplus::tostream &out,
                         const log4cplus::spi::InternalLoggingEvent &event) override
    {
        nlohmann::json line = nlohmann::json::parse(event.getMessage(), nullptr, false);
        if (!line.is_object())
            line = { { "event", event.getMessage() } };
        line["time"] = log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ",
                                                            event.getTimestamp(), true);
        line["level"] = this->llmCache.toString(event.getLogLevel());
        line["program"] = this->identity.program;
        line["instance"] = this->identity.instance;
        line["zone"] = this->identity.zone;
        if (!this->identity.environment.empty())
            line["environment"] = this->identity.environment;
        out << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    }

private:
    LogIdentity identity;
};

/// Lines per second beyond which lines below WARN are dropped. An instance at its
/// full request rate writes a fraction of this number.
constexpr std::uint32_t kMaxLinesPerSecond = 1000;
/// Buffer size beyond which lines of every level are dropped while the reader of
/// standard output is slow.
constexpr std::size_t kMaxBufferedBytes = 256U << 10U;

/// Writes lines to standard output without blocking on the reader. Lines beyond the
/// rate or the buffer size are dropped and counted; a later line reports the count.
class BoundedAppender : public log4cplus::Appender
{
public:
    BoundedAppender() { this->setNonBlocking(); }
    ~BoundedAppender() override { this->destructorImpl(); }
    BoundedAppender(const BoundedAppender &) = delete;
    BoundedAppender &operator=(const BoundedAppender &) = delete;

    void close() override
    {
        this->flush();
        this->closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        if (!this->admit(event.getLogLevel()))
            return;
        std::ostringstream line;
        this->layout->formatAndAppend(line, event);
        this->buffer += line.str();
        this->flush();
    }

private:
    void setNonBlocking()
    {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        if (flags >= 0)
            fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }

    /// Returns true when a line of this level may be written, and counts the line as dropped
    /// otherwise.
    bool admit(log4cplus::LogLevel level)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        if (now >= this->windowStart + Seconds(1)) {
            this->windowStart = now;
            this->linesInWindow = 0;
            if (this->droppedLines > 0)
                this->buffer += "{\"event\":\"log lines were dropped\",\"count\":"
                                + std::to_string(std::exchange(this->droppedLines, 0)) + "}\n";
        }
        const bool isRateLimited = level < log4cplus::WARN_LOG_LEVEL;
        if ((isRateLimited && this->linesInWindow >= kMaxLinesPerSecond)
            || this->buffer.size() > kMaxBufferedBytes) {
            ++this->droppedLines;
            return false;
        }
        ++this->linesInWindow;
        return true;
    }

    void flush()
    {
        while (!this->buffer.empty()) {
            const ssize_t written = write(STDOUT_FILENO, this->buffer.data(), this->buffer.size());
            if (written <= 0)
                return;
            this->buffer.erase(0, static_cast<std::size_t>(written));
        }
    }

    std::string buffer;
    TimePoint windowStart;
    std::uint32_t linesInWindow{ 0 };
    std::uint64_t droppedLines{ 0 };
};

void logAt(log4cplus::LogLevel level, const std::string &event, const nlohmann::json &fields)
{
    auto logger = log4cplus::Logger::getRoot();
    if (!logger.isEnabledFor(level))
        return;
    nlohmann::json line = fields;
    line["event"] = event;
    logger.log(level, line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace

void startLogging(const LogIdentity &identity)
{
    static const log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender(new BoundedAppender());
    appender->setLayout(std::make_unique<JsonLayout>(identity));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(identity.level));
}

void logDebug(const std::string &event, const nlohmann::json &fields)
{
    logAt(log4cplus::DEBUG_LOG_LEVEL, event, fields);
}

void logInfo(const std::string &event, const nlohmann::json &fields)
{
    logAt(log4cplus::INFO_LOG_LEVEL, event, fields);
}

void logWarn(const std::string &event, const nlohmann::json &fields)
{
    logAt(log4cplus::WARN_LOG_LEVEL, event, fields);
}

void logError(const std::string &event, const nlohmann::json &fields)
{
    logAt(log4cplus::ERROR_LOG_LEVEL, event, fields);
}

} // namespace egret
