#pragma once

#include "types.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <thread>
#include <vector>

namespace egret {

/// Worker threads that run one io_context. Thread safe.
class WorkerPool
{
public:
    explicit WorkerPool(unsigned threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// The context that the threads run.
    asio::io_context &context();

    /// Runs `work` on a worker every `period` until the pool stops. Runs of
    /// the same `work` never overlap.
    void every(Milliseconds period, std::function<void()> work);

    /// Runs `work` on a worker after `delay`.
    void after(Milliseconds delay, std::function<void()> work);

    /// Runs `work` on a worker and waits for its end; must not be called from a worker.
    void run(const std::function<void()> &work);

    /// Stops all work and joins the threads; must not be called from a worker.
    void stop();

private:
    asio::io_context ioContext;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::vector<std::thread> threads;
};

} // namespace egret
