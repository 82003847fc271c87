#include "standin/prefix_cache.h"

namespace egret {

namespace {

constexpr std::size_t kMaxStoredEvents = 1024;
/// eventsAfter() drops events whose sequence number is a multiple of this value, to simulate the
/// loss of events.
constexpr std::uint64_t kDroppedEventStride = 17;

} // namespace

bool PrefixCache::lookUpOrInsert(std::uint64_t prefix)
{
    const auto found = this->positions.find(prefix);
    if (found != this->positions.end()) {
        this->lruOrder.splice(this->lruOrder.begin(), this->lruOrder, found->second);
        ++this->hitCount;
        return true;
    }
    ++this->missCount;
    if (this->capacity == 0)
        return false;
    if (this->lruOrder.size() >= this->capacity) {
        this->recordEvent(this->lruOrder.back(), false);
        this->positions.erase(this->lruOrder.back());
        this->lruOrder.pop_back();
    }
    this->lruOrder.push_front(prefix);
    this->positions[prefix] = this->lruOrder.begin();
    this->recordEvent(prefix, true);
    return false;
}

void PrefixCache::clear()
{
    this->lruOrder.clear();
    this->positions.clear();
}

std::vector<CacheEvent> PrefixCache::eventsAfter(std::uint64_t sequence) const
{
    std::vector<CacheEvent> reportedEvents;
    for (const CacheEvent &event : this->events) {
        if (event.sequence > sequence && event.sequence % kDroppedEventStride != 0)
            reportedEvents.push_back(event);
    }
    return reportedEvents;
}

std::vector<std::uint64_t> PrefixCache::cachedPrefixes() const
{
    return { this->lruOrder.begin(), this->lruOrder.end() };
}

void PrefixCache::recordEvent(std::uint64_t prefix, bool isInsertion)
{
    this->events.push_back(CacheEvent{
            .sequence = ++this->sequence, .prefix = prefix, .isInsertion = isInsertion });
    if (this->events.size() > kMaxStoredEvents)
        this->events.pop_front();
}

} // namespace egret
