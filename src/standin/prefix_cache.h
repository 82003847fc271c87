#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace egret {

/// Insertion or eviction in an engine's prefix cache.
struct CacheEvent
{
    std::uint64_t sequence{ 0 };
    std::uint64_t prefix{ 0 };
    bool added{ false };
};

/// An engine's LRU cache of prompt prefixes. Cache events are numbered, and
/// eventsAfter() omits some to simulate event loss. Not thread safe.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity) : capacity(capacity) {}

    /// Looks up a prefix and inserts it on a miss; true on a hit.
    bool use(std::uint64_t prefix);

    /// Empties the cache without events, as a cold start does.
    void clear();

    /// Events after a sequence number, with gaps as a real engine leaves them.
    std::vector<CacheEvent> eventsAfter(std::uint64_t sequence) const;

    /// Cached prefixes, most recently used first.
    std::vector<std::uint64_t> held() const;

    std::uint64_t lastSequence() const { return this->sequence; }
    std::uint64_t hits() const { return this->hitCount; }
    std::uint64_t misses() const { return this->missCount; }

private:
    void recordEvent(std::uint64_t prefix, bool added);

    std::size_t capacity;
    std::list<std::uint64_t> lruOrder; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
    std::deque<CacheEvent> events;
    std::uint64_t sequence{ 0 };
    std::uint64_t hitCount{ 0 };
    std::uint64_t missCount{ 0 };
};

} // namespace egret
