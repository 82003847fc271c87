#include "request_memory.h"

#include <algorithm>
#include <tuple>

namespace egret {

namespace {

constexpr std::size_t kDefaultMaxBytes = 64U << 20U;
constexpr std::size_t kDefaultMaxConnections = 3000;
/// Share of the machine's memory that clients may take. The rest is for the process itself (5 MB at
/// rest), links, answers in transit, the growth of one buffer and the allocator's overhead.
constexpr double kClientShare = 0.4;
constexpr double kBytesPerMegabyte = 1e6;
constexpr std::size_t kMinBytes = 4U << 20U;
/// Shares for answers that aren't complete yet and for heads of answers. Buffers of bodies may have
/// allocated twice what is counted.
constexpr double kAnswerShare = 0.2;
constexpr double kAnswerHeadShare = 0.05;
constexpr std::size_t kMaxAnswerBytes = 32U << 20U;
constexpr std::size_t kMaxAnswerHeadBytes = 8U << 20U;
/// The largest head, with fields of one byte, takes as much as this.
constexpr std::size_t kMinAnswerHeadBytes = 2U << 20U;
/// Share of the descriptors that clients' connections may take, after those that every process
/// needs for itself. Each client of a gateway may need a second one, for the upstream.
constexpr double kConnectionShare = 0.5;
constexpr double kOwnDescriptors = 64;
constexpr double kMinConnections = 16;
/// Small holders are shed down to this share of their part, so that the search for holders doesn't
/// run for every read of a crowd.
constexpr double kShedToShare = 0.9;

} // namespace

ClientLimits clientLimits(double memoryMb, double fileDescriptors)
{
    ClientLimits limits{ .maxBytes = kDefaultMaxBytes, .maxConnections = kDefaultMaxConnections };
    if (memoryMb > 0)
        limits.maxBytes =
                std::clamp(static_cast<std::size_t>(memoryMb * kBytesPerMegabyte * kClientShare),
                           kMinBytes, kDefaultMaxBytes);
    if (fileDescriptors > 0)
        limits.maxConnections = static_cast<std::size_t>(
                std::clamp((fileDescriptors - kOwnDescriptors) * kConnectionShare, kMinConnections,
                           static_cast<double>(kDefaultMaxConnections)));
    return limits;
}

AnswerLimits answerLimits(double memoryMb)
{
    AnswerLimits limits{ .maxBytes = kMaxAnswerBytes, .maxHeadBytes = kMaxAnswerHeadBytes };
    if (memoryMb > 0) {
        const auto share = [memoryMb](double part) {
            return static_cast<std::size_t>(memoryMb * kBytesPerMegabyte * part);
        };
        limits.maxBytes = std::clamp(share(kAnswerShare), kMinBytes, kMaxAnswerBytes);
        limits.maxHeadBytes =
                std::clamp(share(kAnswerHeadShare), kMinAnswerHeadBytes, kMaxAnswerHeadBytes);
    }
    return limits;
}

std::size_t RequestMemory::charge(const Holder &holder)
{
    return std::max(holder.bytes, holder.reservation);
}

std::size_t RequestMemory::maxReservedBytes() const
{
    return this->options.maxBytes
           - static_cast<std::size_t>(static_cast<double>(this->options.maxBytes)
                                      * this->options.smallShare);
}

bool RequestMemory::isShort() const
{
    return this->smallBytes > this->options.maxBytes - this->maxReservedBytes();
}

void RequestMemory::count(const Holder &holder, bool isAdded)
{
    std::size_t &total = holder.reservation > 0 ? this->reservedBytes : this->smallBytes;
    if (isAdded)
        total += charge(holder);
    else
        total -= charge(holder);
}

RequestMemory::HolderId RequestMemory::add(const std::string &address, TimePoint now)
{
    const HolderId id = ++this->lastId;
    this->holders.emplace(id, Holder{ .address = address, .periodStart = now });
    return id;
}

void RequestMemory::erase(Holders::iterator holder)
{
    this->count(holder->second, false);
    if (holder->second.wanted > 0)
        --this->waiterCount;
    this->holders.erase(holder);
}

void RequestMemory::remove(HolderId id)
{
    const auto found = this->holders.find(id);
    if (found != this->holders.end())
        this->erase(found);
}

void RequestMemory::setBytes(HolderId id, std::size_t bytes)
{
    const auto found = this->holders.find(id);
    if (found == this->holders.end())
        return;
    Holder &holder = found->second;
    this->count(holder, false);
    holder.bytes = bytes;
    this->count(holder, true);
}

void RequestMemory::setProtection(HolderId id, Protection protection, TimePoint now)
{
    const auto found = this->holders.find(id);
    if (found == this->holders.end())
        return;
    Holder &holder = found->second;
    if (holder.protection == Protection::full && protection != Protection::full)
        restartProgress(holder, now);
    holder.protection = protection;
}

void RequestMemory::restartProgress(Holder &holder, TimePoint now)
{
    holder.isSlow = false;
    holder.periodStart = now;
    holder.periodBytes = 0;
}

void RequestMemory::restartProgress(HolderId id, TimePoint now)
{
    const auto found = this->holders.find(id);
    if (found != this->holders.end())
        restartProgress(found->second, now);
}

bool RequestMemory::mayGiveWay(const Holder &holder)
{
    return holder.protection == Protection::none
           || (holder.protection == Protection::unlessSlow && holder.isSlow);
}

void RequestMemory::onProgress(HolderId id, std::size_t bytes)
{
    const auto found = this->holders.find(id);
    if (found != this->holders.end())
        found->second.periodBytes += bytes;
}

bool RequestMemory::reserve(HolderId id, std::size_t bytes, TimePoint now)
{
    Holder &holder = this->holders.at(id);
    // A body larger than the whole part can still be served while it is alone.
    const std::size_t wanted = std::clamp<std::size_t>(bytes, 1, this->maxReservedBytes());
    if (this->waiterCount == 0 && this->reservedBytes + wanted <= this->maxReservedBytes()) {
        this->count(holder, false);
        holder.reservation = wanted;
        this->count(holder, true);
        restartProgress(holder, now);
        return true;
    }
    this->waiterCount += holder.wanted == 0 ? 1 : 0;
    holder.wanted = wanted;
    holder.waitsSince = now;
    return false;
}

RequestMemory::HolderId RequestMemory::moveToRequest(HolderId id, std::size_t bytes, TimePoint now)
{
    Holder &holder = this->holders.at(id);
    this->count(holder, false);
    Holder request{ .address = holder.address,
                    .bytes = bytes,
                    .reservation = std::min(holder.reservation, bytes),
                    .protection = Protection::full,
                    .periodStart = now };
    holder.bytes -= std::min(holder.bytes, bytes);
    holder.reservation = 0;
    this->count(holder, true);
    this->count(request, true);
    const HolderId requestId = ++this->lastId;
    this->holders.emplace(requestId, std::move(request));
    return requestId;
}

void RequestMemory::measureProgress(TimePoint now)
{
    for (auto &[id, holder] : this->holders) {
        if (now - holder.periodStart < this->options.progressPeriod)
            continue;
        // A process that stood still has read nothing, which is no fault of the clients. The server
        // doesn't read either from a holder that waits for a reservation.
        if (now - holder.periodStart <= 2 * this->options.progressPeriod)
            holder.isSlow =
                    holder.wanted == 0 && holder.periodBytes < this->options.minProgressBytes;
        holder.periodStart = now;
        holder.periodBytes = 0;
    }
}

RequestMemory::AddressBytes RequestMemory::bytesByAddress() const
{
    AddressBytes bytes;
    for (const auto &[id, holder] : this->holders)
        bytes[holder.address] += charge(holder);
    return bytes;
}

void RequestMemory::shedSmallHolders(Changes &changes)
{
    AddressBytes addresses = this->bytesByAddress();
    struct Candidate
    {
        bool isSlow;
        std::size_t addressBytes;
        std::size_t bytes;
        HolderId id;
    };
    std::vector<Candidate> candidates;
    for (const auto &[id, holder] : this->holders) {
        if (mayGiveWay(holder) && holder.reservation == 0)
            candidates.push_back({ holder.isSlow, addresses[holder.address], holder.bytes, id });
    }
    std::ranges::sort(candidates, std::greater(), [](const Candidate &each) {
        return std::tuple(each.isSlow, each.addressBytes, each.bytes, each.id);
    });
    const auto limit = static_cast<std::size_t>(
            static_cast<double>(this->options.maxBytes - this->maxReservedBytes()) * kShedToShare);
    for (const Candidate &each : candidates) {
        if (this->smallBytes <= limit)
            break;
        changes.shed.push_back(each.id);
        this->remove(each.id);
    }
}

void RequestMemory::expireWaiters(TimePoint now, Changes &changes)
{
    for (auto holder = this->holders.begin(); holder != this->holders.end();) {
        const auto next = std::next(holder);
        if (holder->second.wanted > 0 && now - holder->second.waitsSince >= this->options.maxWait) {
            changes.expired.push_back(holder->first);
            this->erase(holder);
        }
        holder = next;
    }
}

std::optional<RequestMemory::HolderId> RequestMemory::grantWaiters(TimePoint now, Changes &changes)
{
    while (this->waiterCount > 0) {
        const AddressBytes addresses = this->bytesByAddress();
        auto first = this->holders.end();
        const auto rank = [&addresses](const auto &each) {
            return std::tuple(addresses.at(each.second.address), each.second.waitsSince,
                              each.first);
        };
        for (auto each = this->holders.begin(); each != this->holders.end(); ++each) {
            if (each->second.wanted > 0
                && (first == this->holders.end() || rank(*each) < rank(*first)))
                first = each;
        }
        Holder &holder = first->second;
        if (this->reservedBytes + holder.wanted > this->maxReservedBytes())
            return first->first;
        this->count(holder, false);
        holder.reservation = std::exchange(holder.wanted, 0);
        this->count(holder, true);
        --this->waiterCount;
        restartProgress(holder, now);
        changes.granted.push_back(first->first);
    }
    return std::nullopt;
}

std::optional<RequestMemory::HolderId> RequestMemory::victimFor(HolderId waiter) const
{
    const AddressBytes addresses = this->bytesByAddress();
    const Holder &waiting = this->holders.at(waiter);
    auto victim = this->holders.end();
    const auto rank = [&addresses](const auto &each) {
        return std::tuple(each.second.isSlow, addresses.at(each.second.address),
                          charge(each.second), each.first);
    };
    for (auto each = this->holders.begin(); each != this->holders.end(); ++each) {
        const Holder &holder = each->second;
        if (!mayGiveWay(holder) || holder.reservation == 0)
            continue;
        // An address gives up a body that makes progress only for one that holds less than the
        // address holds without that body; otherwise two addresses would displace each other.
        const bool holdsMore = addresses.at(waiting.address) + waiting.wanted
                               < addresses.at(holder.address) - charge(holder);
        if ((holder.isSlow || holdsMore)
            && (victim == this->holders.end() || rank(*each) > rank(*victim)))
            victim = each;
    }
    return victim == this->holders.end() ? std::nullopt : std::optional(victim->first);
}

RequestMemory::Changes RequestMemory::update(TimePoint now)
{
    Changes changes;
    this->measureProgress(now);
    if (this->isShort())
        this->shedSmallHolders(changes);
    if (this->waiterCount > 0)
        this->expireWaiters(now, changes);
    while (const auto waiter = this->grantWaiters(now, changes)) {
        const auto victim = this->victimFor(*waiter);
        if (!victim)
            break;
        changes.shed.push_back(*victim);
        this->remove(*victim);
    }
    return changes;
}

std::optional<RequestMemory::HolderId> RequestMemory::leastActive(TimePoint now)
{
    this->measureProgress(now);
    std::map<std::string, std::size_t> countByAddress;
    for (const auto &[id, holder] : this->holders)
        ++countByAddress[holder.address];
    std::optional<HolderId> chosen;
    std::size_t chosenCount = 0;
    for (const auto &[id, holder] : this->holders) {
        const std::size_t count = countByAddress[holder.address];
        if (holder.protection == Protection::none && holder.isSlow && count > chosenCount) {
            chosen = id;
            chosenCount = count;
        }
    }
    return chosen;
}

} // namespace egret
