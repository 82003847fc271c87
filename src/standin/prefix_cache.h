#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace egret {

/// Insertion or eviction of a prefix in an engine's prefix cache.
struct CacheEvent
{
    std::uint64_t sequence{ 0 };
    std::uint64_t prefix{ 0 }; ///< digest of the prompt prefix
    bool isInsertion{ false }; ///< false for an eviction
};

/// An engine's LRU cache of prompt prefixes, identified by their digests. Events have
/// consecutive sequence numbers from 1. Not thread safe.
class PrefixCache
{
public:
    /// `capacity` is the maximum number of prefixes; 0 disables the cache.
    explicit PrefixCache(std::size_t capacity) : capacity(capacity) {}

    /// Looks up a prefix and inserts the prefix on a miss; returns true on a hit.
    bool lookUpOrInsert(std::uint64_t prefix);

    /// Empties the cache without recording events, as a cold start does.
    void clear();

    /// Events with sequence numbers above `sequence`, oldest first. Only recent events are
    /// stored, and some stored events are omitted to simulate event loss.
    std::vector<CacheEvent> eventsAfter(std::uint64_t sequence) const;

    /// Cached prefixes, most recently used first.
    std::vector<std::uint64_t> cachedPrefixes() const;

    std::uint64_t lastSequence() const { return this->sequence; }
    std::uint64_t hits() const { return this->hitCount; }
    std::uint64_t misses() const { return this->missCount; }

private:
    void recordEvent(std::uint64_t prefix, bool isInsertion);

    std::size_t capacity;
    std::list<std::uint64_t> lruOrder; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
    std::deque<CacheEvent> events;
    std::uint64_t sequence{ 0 }; ///< sequence number of the last event; 0 for none
    std::uint64_t hitCount{ 0 };
    std::uint64_t missCount{ 0 };
};

} // namespace egret
