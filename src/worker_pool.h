#pragma once

#include "types.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <thread>
#include <vector>

namespace egret {

/// Threads (workers) that run the handlers of one io_context. Thread safe.
class WorkerPool
{
public:
    explicit WorkerPool(unsigned threadCount);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// The context whose handlers the threads run.
    asio::io_context &context();

    /// Runs `work` on a worker repeatedly until the pool stops: first after `period`, then
    /// `period` after the end of each run. Runs of the same `work` never overlap.
    void every(Milliseconds period, std::function<void()> work);

    /// Runs `work` on a worker after `delay`.
    void after(Milliseconds delay, std::function<void()> work);

    /// Runs `work` on a worker and waits until it has returned; must not be called from a worker.
    void run(const std::function<void()> &work);

    /// Waits for the running handlers and joins the threads; handlers not yet started never run.
    /// Must not be called from a worker.
    void stop();

private:
    asio::io_context ioContext;
    /// Keeps the context running while no handler is queued.
    asio::executor_work_guard<asio::io_context::executor_type> workGuard;
    std::vector<std::thread> threads;
};

} // namespace egret
