#include "piece_relay.h"

#include <algorithm>

namespace egret {

namespace {

/// Unused time of the link's share that may be made up for.
constexpr Milliseconds kBurst = 20ms;

} // namespace

void PieceRelay::onPiece(const BlockReply &piece, const std::vector<std::string> &targets,
                         TimePoint now)
{
    if (piece.bytes.empty())
        return;
    const auto shared = std::make_shared<const BlockReply>(piece);
    for (const std::string &target : targets)
        this->receivers[target].waiting.push_back({ .piece = shared, .since = now });
}

void PieceRelay::onAcknowledged(const std::string &receiver)
{
    const auto found = this->receivers.find(receiver);
    if (found != this->receivers.end())
        found->second.sentAt.reset();
}

std::optional<PieceCopy> PieceRelay::next(TimePoint now)
{
    if (now < this->freeAt)
        return std::nullopt;
    // Step 1. Drop what is of no use any more.
    for (auto at = this->receivers.begin(); at != this->receivers.end();) {
        Receiver &receiver = at->second;
        while (!receiver.waiting.empty()
               && now > receiver.waiting.front().since + this->options.patience)
            receiver.waiting.pop_front();
        if (receiver.sentAt && now > *receiver.sentAt + this->options.takenWithin)
            receiver.sentAt.reset();
        at = receiver.waiting.empty() && !receiver.sentAt ? this->receivers.erase(at)
                                                          : std::next(at);
    }
    // Step 2. The next receiver in turn that has nothing on its way.
    auto at = this->receivers.upper_bound(this->lastServed);
    for (std::size_t i = 0; i < this->receivers.size(); ++i, ++at) {
        if (at == this->receivers.end())
            at = this->receivers.begin();
        auto &[name, receiver] = *at;
        if (receiver.waiting.empty() || receiver.sentAt)
            continue;
        PieceCopy copy{ .to = name, .piece = receiver.waiting.front().piece };
        receiver.waiting.pop_front();
        receiver.sentAt = now;
        this->lastServed = name;
        if (this->options.bytesPerMs > 0) {
            const FloatMilliseconds time(static_cast<double>(copy.piece->bytes.size())
                                         / this->options.bytesPerMs);
            this->freeAt = std::max(this->freeAt, now - kBurst)
                           + std::chrono::duration_cast<Duration>(time);
        }
        return copy;
    }
    return std::nullopt;
}

} // namespace egret
