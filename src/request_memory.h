#pragma once

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egret {

struct RequestMemoryOptions
{
    std::size_t maxBytes{ 64U << 20U }; ///< limit on the bytes held for all clients together
    /// Share of `maxBytes` that only clients without a reservation use, so that large requests
    /// can't keep small ones out.
    double smallShare{ 0.25 };
    /// A request up to this size needs no reservation: 8 times the mean prompt of the deployments,
    /// and small enough that the small share of the smallest gateway holds 250 of them.
    std::size_t smallRequestBytes{ 64U << 10U };
    /// A client that sends or takes fewer bytes in one `progressPeriod` makes no progress. At this
    /// rate a request of 4 MiB would take four times as long as a body may take.
    std::size_t minProgressBytes{ 16U << 10U };
    /// A stalled client is known after two periods at most, before the wait of others ends.
    Milliseconds progressPeriod{ 500ms };
    /// Longest wait for a reservation. Clients of the deployments wait 1 s or more for an answer;
    /// one that has waited for longer is better off with a refusal.
    Milliseconds maxWait{ 2s };
};

/// Limits on answers of upstreams, derived from the machine's memory.
struct AnswerLimits
{
    std::size_t maxBytes{ 0 };     ///< answers that aren't complete yet, with their heads
    std::size_t maxHeadBytes{ 0 }; ///< heads that aren't complete yet, see `HttpPoolOptions`
};

/// Returns the limits for a machine with `memoryMb` megabytes of memory. 0: unknown; the limits are
/// then 32 MiB and 8 MiB. Thread safe.
AnswerLimits answerLimits(double memoryMb);

/// Limits on clients, derived from the machine's limits.
struct ClientLimits
{
    std::size_t maxBytes{ 0 };       ///< for HttpFrontendOptions::maxBufferedBytes
    std::size_t maxConnections{ 0 }; ///< for HttpFrontendOptions::maxConnections
};

/// Returns the limits for a machine with `memoryMb` megabytes of memory on which the process may
/// open `fileDescriptors`. 0: unknown; the limits are then 64 MiB and 3,000 connections. Thread
/// safe.
ClientLimits clientLimits(double memoryMb, double fileDescriptors);

/// When a holder gives way to others.
enum class Protection : std::uint8_t {
    none,       ///< when memory is short; first if it makes no progress
    unlessSlow, ///< only if it makes no progress
    full,       ///< never
};

/// Divides a budget of bytes between the clients of a server. Holders are the clients' connections
/// and the requests that run for them. A holder with a reservation (one large body) is counted with
/// the whole reservation from the beginning, so that a body that has begun can always be completed;
/// every other holder is counted with what it holds. When a part of the budget is used up, holders
/// that make no progress give way first, then the largest holders of the address that holds most.
/// Deterministic; not thread safe.
class RequestMemory
{
public:
    using HolderId = std::uint64_t;

    explicit RequestMemory(RequestMemoryOptions options) : options(options) {}

    /// Adds a holder without bytes. `address`: the client's address.
    HolderId add(const std::string &address, TimePoint now);

    /// Removes a holder with its bytes and its reservation; unknown ids are ignored.
    void remove(HolderId id);

    /// Sets the bytes that a holder has allocated. Unknown ids are ignored.
    void setBytes(HolderId id, std::size_t bytes);

    /// Sets when a holder gives way; `none` at first. A holder that was fully protected starts a
    /// new period, because nobody expected progress of it before. Unknown ids are ignored.
    void setProtection(HolderId id, Protection protection, TimePoint now);

    /// Reports bytes that a client has sent or taken. Unknown ids are ignored.
    void onProgress(HolderId id, std::size_t bytes);

    /// Starts a new period for a holder of which progress is expected from now on, for example
    /// because a request begins. Unknown ids are ignored.
    void restartProgress(HolderId id, TimePoint now);

    /// Asks for a reservation of `bytes`. Returns true if it is granted at once; otherwise the
    /// holder waits until `update` grants it. Precondition: `id` is a holder that has asked for no
    /// reservation yet.
    bool reserve(HolderId id, std::size_t bytes, TimePoint now);

    /// Moves `bytes` and the reservation of a holder to a new holder with full protection, for a
    /// request that is being run. Precondition: `id` is a holder.
    HolderId moveToRequest(HolderId id, std::size_t bytes, TimePoint now);

    /// What changes for the holders.
    struct Changes
    {
        std::vector<HolderId> granted; ///< their reservations are granted
        std::vector<HolderId> shed;    ///< must give way at once; they are removed already
        std::vector<HolderId> expired; ///< waited too long; they are removed already
    };

    /// Grants reservations and chooses the holders that give way. Call it regularly, and when
    /// `isShort` or `hasWaiters`.
    Changes update(TimePoint now);

    /// True when holders without a reservation hold more than their part.
    bool isShort() const;
    bool hasWaiters() const { return this->waiterCount > 0; }

    /// The holder whose connection is closed to make room for another one: one without protection
    /// that makes no progress, of the address with most holders. Empty if there is none. The caller
    /// removes it.
    std::optional<HolderId> leastActive(TimePoint now);

    std::size_t totalBytes() const { return this->reservedBytes + this->smallBytes; }

private:
    struct Holder
    {
        std::string address;
        std::size_t bytes{ 0 };
        std::size_t reservation{ 0 }; ///< 0 for none
        std::size_t wanted{ 0 };      ///< reservation for which the holder waits, 0 for none
        Protection protection{ Protection::none };
        bool isSlow{ false }; ///< made no progress in the last whole period
        TimePoint waitsSince;
        TimePoint periodStart;
        std::size_t periodBytes{ 0 };
    };
    using Holders = std::map<HolderId, Holder>;
    using AddressBytes = std::map<std::string, std::size_t>;

    static std::size_t charge(const Holder &holder);
    static bool mayGiveWay(const Holder &holder);
    static void restartProgress(Holder &holder, TimePoint now);
    std::size_t maxReservedBytes() const;
    /// Adds (`sign` 1) or removes (-1) the charge of a holder.
    void count(const Holder &holder, bool isAdded);
    void erase(Holders::iterator holder);
    void measureProgress(TimePoint now);
    AddressBytes bytesByAddress() const;
    void shedSmallHolders(Changes &changes);
    void expireWaiters(TimePoint now, Changes &changes);
    /// Grants what fits, in the order of what the waiters' addresses hold, then of the wait.
    /// Returns the first waiter whose reservation doesn't fit.
    std::optional<HolderId> grantWaiters(TimePoint now, Changes &changes);
    /// Chooses a holder that gives its reservation up for `waiter`; empty if there is none.
    std::optional<HolderId> victimFor(HolderId waiter) const;

    RequestMemoryOptions options;
    Holders holders;
    HolderId lastId{ 0 };
    std::size_t reservedBytes{ 0 }; ///< of holders with a reservation
    std::size_t smallBytes{ 0 };    ///< of all others
    std::size_t waiterCount{ 0 };
};

} // namespace egret
