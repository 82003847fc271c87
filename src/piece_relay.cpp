#include "piece_relay.h"

#include <algorithm>

namespace egret {

namespace {

/// Burst allowed after an idle time: the bytes that take this time to send at `bytesPerMs`.
constexpr Milliseconds kBurst = 20ms;

} // namespace

void PieceRelay::onPiece(const BlockReply &piece, const std::vector<std::string> &stagers,
                         TimePoint now)
{
    if (piece.bytes.empty())
        return;
    const auto sharedPiece = std::make_shared<const BlockReply>(piece);
    for (const std::string &stager : stagers)
        this->receivers[stager].queue.push_back({ .piece = sharedPiece, .queuedAt = now });
}

void PieceRelay::onAcknowledged(const std::string &receiver)
{
    const auto found = this->receivers.find(receiver);
    if (found != this->receivers.end())
        found->second.sentAt.reset();
}

std::optional<PieceCopy> PieceRelay::next(TimePoint now)
{
    if (now < this->nextSendAt)
        return std::nullopt;
    // Step 1. Drop expired copies and idle receivers.
    for (auto at = this->receivers.begin(); at != this->receivers.end();) {
        Receiver &receiver = at->second;
        while (!receiver.queue.empty()
               && now > receiver.queue.front().queuedAt + this->options.maxQueueTime)
            receiver.queue.pop_front();
        if (receiver.sentAt && now > *receiver.sentAt + this->options.acknowledgeTimeout)
            receiver.sentAt.reset();
        at = receiver.queue.empty() && !receiver.sentAt ? this->receivers.erase(at) : std::next(at);
    }
    // Step 2. Choose the next receiver in round-robin order that has a queued copy and no copy
    // in flight.
    auto at = this->receivers.upper_bound(this->lastReceiver);
    for (std::size_t i = 0; i < this->receivers.size(); ++i, ++at) {
        if (at == this->receivers.end())
            at = this->receivers.begin();
        auto &[name, receiver] = *at;
        if (receiver.queue.empty() || receiver.sentAt)
            continue;
        PieceCopy copy{ .to = name, .piece = receiver.queue.front().piece };
        receiver.queue.pop_front();
        receiver.sentAt = now;
        this->lastReceiver = name;
        if (this->options.bytesPerMs > 0) {
            const FloatMilliseconds transmissionTime(static_cast<double>(copy.piece->bytes.size())
                                                     / this->options.bytesPerMs);
            this->nextSendAt = std::max(this->nextSendAt, now - kBurst)
                               + std::chrono::duration_cast<Duration>(transmissionTime);
        }
        return copy;
    }
    return std::nullopt;
}

} // namespace egret
