#include "worker_pool.h"

#include "log.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <future>
#include <memory>

namespace egret {

namespace {

/// Runs `work` periodically: the timer is rearmed after each run.
struct PeriodicTask : std::enable_shared_from_this<PeriodicTask>
{
    PeriodicTask(asio::io_context &context, Milliseconds period, std::function<void()> work)
        : timer(context), period(period), work(std::move(work))
    {}

    void arm()
    {
        this->timer.expires_after(this->period);
        this->timer.async_wait([self = this->shared_from_this()](const std::error_code &error) {
            if (error)
                return;
            self->work();
            self->arm();
        });
    }

    asio::steady_timer timer;
    Milliseconds period;
    std::function<void()> work;
};

/// Runs handlers until the context stops. A handler that throws an exception ends, and
/// the exception is logged; the other handlers go on.
void runHandlers(asio::io_context &context)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::exception &error) {
            logError("handler threw an exception", { { "error", error.what() } });
        }
    }
}

} // namespace

WorkerPool::WorkerPool(unsigned threadCount) : workGuard(asio::make_work_guard(this->ioContext))
{
    for (unsigned i = 0; i < threadCount; ++i)
        this->threads.emplace_back([this] { runHandlers(this->ioContext); });
}

WorkerPool::~WorkerPool()
{
    this->stop();
}

asio::io_context &WorkerPool::context()
{
    return this->ioContext;
}

void WorkerPool::every(Milliseconds period, std::function<void()> work)
{
    std::make_shared<PeriodicTask>(this->ioContext, period, std::move(work))->arm();
}

void WorkerPool::after(Milliseconds delay, std::function<void()> work)
{
    auto timer = std::make_shared<asio::steady_timer>(this->ioContext, delay);
    timer->async_wait([timer, work = std::move(work)](const std::error_code &error) {
        if (!error)
            work();
    });
}

void WorkerPool::run(const std::function<void()> &work)
{
    std::promise<void> done;
    asio::post(this->ioContext, [&] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

void WorkerPool::stop()
{
    this->workGuard.reset();
    this->ioContext.stop();
    for (auto &thread : this->threads) {
        if (thread.joinable())
            thread.join();
    }
}

} // namespace egret
