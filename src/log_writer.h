#pragma once

#include "log_write_queue.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace egret {

/// Thread that executes the jobs of a quorum member's log, so that a slow disk delays no heartbeat
/// and no vote of the member. Thread safe.
class LogWriter
{
public:
    /// `onDone` is called on the thread of the writer after each job. Precondition: `log` is open,
    /// outlives the writer, and is used by nobody else until `stop` has returned.
    LogWriter(QuorumLog &log, std::function<void()> onDone);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Executes a job. Precondition: there was no earlier job, or its result was taken.
    void submit(LogJob job);

    /// Returns the job that has ended and its result, once; empty while a job is executed.
    std::optional<std::pair<LogJob, LogJobResult>> takeResult();

    /// Waits for the job that is executed, and ends the thread. Called by the destructor too.
    void stop();

private:
    void run();

    QuorumLog &log;
    std::function<void()> onDone;
    std::mutex mutex; ///< guards the members below; `onDone` is called without it
    std::condition_variable changed;
    std::optional<LogJob> job;
    std::optional<std::pair<LogJob, LogJobResult>> result;
    bool isStopping{ false };
    std::thread thread;
};

} // namespace egret
