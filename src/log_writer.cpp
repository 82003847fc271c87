#include "log_writer.h"

namespace egret {

LogWriter::LogWriter(QuorumLog &log, std::function<void()> onDone)
    : log(log), onDone(std::move(onDone)), thread([this] { this->run(); })
{}

LogWriter::~LogWriter()
{
    this->stop();
}

void LogWriter::submit(LogJob newJob)
{
    {
        const std::lock_guard lock(this->mutex);
        this->job = std::move(newJob);
    }
    this->changed.notify_one();
}

std::optional<std::pair<LogJob, LogJobResult>> LogWriter::takeResult()
{
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->result, std::nullopt);
}

void LogWriter::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isStopping = true;
    }
    this->changed.notify_one();
    if (this->thread.joinable())
        this->thread.join();
}

void LogWriter::run()
{
    while (true) {
        std::optional<LogJob> next;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait(lock, [this] { return this->isStopping || this->job; });
            if (this->isStopping)
                return;
            next = std::exchange(this->job, std::nullopt);
        }
        const LogJobResult jobResult = execute(this->log, *next);
        {
            const std::lock_guard lock(this->mutex);
            this->result.emplace(std::move(*next), jobResult);
        }
        this->onDone();
    }
}

} // namespace egret
