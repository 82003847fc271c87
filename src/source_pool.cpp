#include "source_pool.h"

#include <algorithm>

namespace egret {

namespace {

constexpr Milliseconds kFirstBackoff = 250ms;
constexpr Milliseconds kMaxBackoff = 8s;
constexpr Milliseconds kCorruptBackoff = 60s;
/// A single source gets short backoffs, because there is no other source to use in the
/// meantime.
constexpr Milliseconds kSingleSourceCorruptBackoff = 100ms;
constexpr Milliseconds kSingleSourceMaxBackoff = 100ms;
constexpr std::uint32_t kMaxDoublings = 5;

} // namespace

void SourcePool::reset(std::size_t count)
{
    this->sources.assign(count, Source{});
    this->nextIndex = 0;
}

std::optional<std::size_t> SourcePool::choose(TimePoint now)
{
    for (std::size_t i = 0; i < this->sources.size(); ++i) {
        const std::size_t index = (this->nextIndex + i) % this->sources.size();
        if (now < this->sources[index].backoffUntil)
            continue;
        this->nextIndex = index + 1;
        return index;
    }
    return std::nullopt;
}

void SourcePool::onSuccess(std::size_t source)
{
    if (source < this->sources.size())
        this->sources[source].failures = 0;
}

void SourcePool::onFailure(std::size_t source, Milliseconds retryAfter, TimePoint now)
{
    if (source >= this->sources.size())
        return;
    Source &failed = this->sources[source];
    const auto doublings = std::min(failed.failures, kMaxDoublings);
    ++failed.failures;
    const Milliseconds maxBackoff =
            this->sources.size() == 1 ? kSingleSourceMaxBackoff : kMaxBackoff;
    const Milliseconds backoff = std::min(kFirstBackoff * (1U << doublings), maxBackoff);
    failed.backoffUntil = now + std::max(backoff, retryAfter);
}

void SourcePool::onCorrupt(std::size_t source, TimePoint now)
{
    if (source >= this->sources.size())
        return;
    // A single source is retried soon: other bytes from the source may be intact, and there is
    // no other source.
    const Milliseconds backoff =
            this->sources.size() == 1 ? kSingleSourceCorruptBackoff : kCorruptBackoff;
    this->sources[source].backoffUntil = now + backoff;
}

} // namespace egret
