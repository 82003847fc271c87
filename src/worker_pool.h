#pragma once

#include "types.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <thread>
#include <vector>

namespace egret {

/// Threads that run one io_context. Thread safe.
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
    /// one ticker never overlap.
    void every(Milliseconds period, std::function<void()> work);

    /// Runs `work` on a worker after `delay`.
    void after(Milliseconds delay, std::function<void()> work);

    /// Runs `work` on a worker and waits for it; call from outside the pool.
    void run(const std::function<void()> &work);

    /// Ends all work and joins the threads; call from outside the pool.
    void stop();

private:
    asio::io_context ioContext;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::vector<std::thread> threads;
};

} // namespace egret
