#include "piece_relay.h"

#include <algorithm>

namespace egret {

namespace {

/// Unused time of the link's share that may be made up for.
constexpr Milliseconds kBurst = 20ms;

} // namespace

void PieceRelay::onPiece(const BlockReply &piece, const std::vector<std::string> &receivers,
                         TimePoint now)
{
    if (piece.bytes.empty())
        return;
    const auto shared = std::make_shared<const BlockReply>(piece);
    for (const std::string &receiver : receivers)
        this->waiting.push_back({ .copy = { .to = receiver, .piece = shared }, .since = now });
}

std::optional<PieceCopy> PieceRelay::next(TimePoint now)
{
    while (!this->waiting.empty() && now > this->waiting.front().since + this->options.patience)
        this->waiting.pop_front();
    if (this->waiting.empty() || now < this->freeAt)
        return std::nullopt;
    PieceCopy copy = std::move(this->waiting.front().copy);
    this->waiting.pop_front();
    if (this->options.bytesPerMs > 0) {
        const FloatMilliseconds time(static_cast<double>(copy.piece->bytes.size())
                                     / this->options.bytesPerMs);
        this->freeAt =
                std::max(this->freeAt, now - kBurst) + std::chrono::duration_cast<Duration>(time);
    }
    return copy;
}

} // namespace egret
