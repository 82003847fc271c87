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

/// Writes each event as one JSON object; the message itself is a JSON object
/// that holds the event and its fields.
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

/// Lines a second beyond which all but warnings are dropped; several times what
/// one instance writes at its full rate.
constexpr std::uint32_t kLinesPerSecond = 1000;
/// Bytes that wait for a reader of standard output that has fallen behind.
constexpr std::size_t kMaxWaitingBytes = 256U << 10U;

/// Writes lines to standard output without ever waiting for its reader: what
/// does not fit is dropped and counted, and the count is written later.
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
        this->waiting += line.str();
        this->flush();
    }

private:
    void setNonBlocking()
    {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        if (flags >= 0)
            fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }

    bool admit(log4cplus::LogLevel level)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        if (now >= this->secondBegan + Seconds(1)) {
            this->secondBegan = now;
            this->lines = 0;
            if (this->dropped > 0)
                this->waiting += "{\"event\":\"log lines were dropped\",\"count\":"
                                 + std::to_string(std::exchange(this->dropped, 0)) + "}\n";
        }
        const bool isBounded = level < log4cplus::WARN_LOG_LEVEL;
        if ((isBounded && this->lines >= kLinesPerSecond)
            || this->waiting.size() > kMaxWaitingBytes) {
            ++this->dropped;
            return false;
        }
        ++this->lines;
        return true;
    }

    void flush()
    {
        while (!this->waiting.empty()) {
            const ssize_t written =
                    write(STDOUT_FILENO, this->waiting.data(), this->waiting.size());
            if (written <= 0)
                return;
            this->waiting.erase(0, static_cast<std::size_t>(written));
        }
    }

    std::string waiting;
    TimePoint secondBegan;
    std::uint32_t lines{ 0 };
    std::uint64_t dropped{ 0 };
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
