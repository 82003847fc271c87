#include "frame.h"

#include "compression.h"
#include "digest.h"

#include <sstream>

namespace egret {

namespace {

/// Counters that a datagram may arrive late by and still be accepted.
constexpr std::uint64_t kReplayWindow = 64;

template <std::size_t... Is>
bool emplaceById(Message &message, std::uint16_t id, std::index_sequence<Is...>)
{
    return ((kMessageIds[Is] == id ? (message.emplace<Is>(), true) : false) || ...);
}

bool emplaceById(Message &message, std::uint16_t id)
{
    return emplaceById(message, id, std::make_index_sequence<std::variant_size_v<Message>>{});
}

/// Messages that carry operators' texts: long, and much the same from one to the
/// next line.
bool carriesText(const Message &message)
{
    return std::holds_alternative<AppendRequest>(message)
           || std::holds_alternative<SnapshotPart>(message)
           || std::holds_alternative<ControlRequest>(message)
           || std::holds_alternative<ControlReply>(message)
           || std::holds_alternative<DocumentPush>(message)
           || std::holds_alternative<View>(message);
}

std::string bodyOf(const Message &message)
{
    std::ostringstream stream;
    WireWriter writer(stream);
    std::visit([&writer](const auto &body) { writer.write(body); }, message);
    return std::move(stream).str();
}

/// Takes a body of the type that `message` has already; false when bytes are left over.
bool takeBody(Message &message, std::string body)
{
    std::istringstream stream(std::move(body));
    WireReader reader(stream);
    std::visit([&reader](auto &each) { reader.read(each); }, message);
    return stream.peek() == std::istringstream::traits_type::eof();
}

} // namespace

const char *frameErrorName(FrameError error)
{
    switch (error) {
    case FrameError::none:
        return "none";
    case FrameError::oversize:
        return "oversize";
    case FrameError::truncated:
        return "truncated";
    case FrameError::wrongVersion:
        return "wrongVersion";
    case FrameError::wrongCluster:
        return "wrongCluster";
    case FrameError::wrongKey:
        return "wrongKey";
    case FrameError::replayed:
        return "replayed";
    case FrameError::garbage:
        return "garbage";
    }
    return "unknown";
}

FrameSealer::FrameSealer(FrameSealerOptions options) : options(std::move(options)) {}

std::string FrameSealer::seal(const Message &message)
{
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(this->mutex);
        number = ++this->counter;
    }
    std::ostringstream stream;
    WireWriter writer(stream);
    writer.write(kFrameVersion);
    writer.write(this->options.cluster);
    writer.write(this->options.sender);
    writer.write(this->options.incarnation);
    writer.write(number);
    writer.write(kMessageIds[message.index()]);
    const std::string body = bodyOf(message);
    const auto packed = carriesText(message) ? packBytes(body) : std::nullopt;
    writer.write(static_cast<std::uint32_t>(packed ? body.size() : 0));
    std::string bytes = std::move(stream).str();
    bytes += packed ? *packed : body;
    bytes += macOf(this->options.key, bytes);
    return bytes;
}

std::optional<Frame> FrameSealer::open(std::string_view bytes, std::uint64_t &counter,
                                       Reason<FrameError> &reason) const
{
    // Step 1. Bound the size and check the MAC before anything is decoded.
    if (bytes.size() > kMaxFrameBytes)
        return fail(reason, FrameError::oversize, std::to_string(bytes.size()));
    if (bytes.size() <= kDigestBytes)
        return fail(reason, FrameError::truncated, std::to_string(bytes.size()));
    const std::string_view content = bytes.substr(0, bytes.size() - kDigestBytes);
    const std::string_view mac = bytes.substr(content.size());
    if (!equalConstantTime(macOf(this->options.key, content), mac))
        return fail(reason, FrameError::wrongKey, "");
    // Step 2. Decode the envelope, then the body that its number names.
    std::istringstream stream{ std::string(content) };
    try {
        WireReader reader(stream);
        std::uint16_t version = 0;
        reader.read(version);
        if (version != kFrameVersion)
            return fail(reason, FrameError::wrongVersion, std::to_string(version));
        std::string cluster;
        reader.read(cluster);
        if (cluster != this->options.cluster)
            return fail(reason, FrameError::wrongCluster, cluster);
        Frame frame;
        reader.read(frame.sender);
        reader.read(frame.incarnation);
        reader.read(counter);
        std::uint16_t id = 0;
        reader.read(id);
        if (!emplaceById(frame.message, id))
            return fail(reason, FrameError::garbage, "message " + std::to_string(id));
        std::uint32_t unpackedSize = 0;
        reader.read(unpackedSize);
        if (unpackedSize > kMaxFrameBytes)
            return fail(reason, FrameError::oversize, std::to_string(unpackedSize));
        std::string body(content.substr(static_cast<std::size_t>(stream.tellg())));
        if (unpackedSize > 0) {
            auto unpacked = unpackBytes(body, unpackedSize);
            if (!unpacked)
                return fail(reason, FrameError::garbage, "packed bytes");
            body = std::move(*unpacked);
        }
        if (!takeBody(frame.message, std::move(body)))
            return fail(reason, FrameError::garbage, "bytes after the message");
        return frame;
    } catch (const std::exception &error) {
        return fail(reason, FrameError::garbage, error.what());
    }
}

bool ReplayGuard::accept(const std::string &sender, std::uint64_t incarnation,
                         std::uint64_t counter)
{
    Window &window = this->windows[sender];
    if (incarnation < window.incarnation)
        return false;
    if (incarnation > window.incarnation)
        window = Window{ .incarnation = incarnation };
    if (counter > window.highest) {
        const std::uint64_t shift = counter - window.highest;
        window.seen = shift >= kReplayWindow ? 0 : window.seen << shift;
        window.seen |= 1U;
        window.highest = counter;
        return true;
    }
    const std::uint64_t age = window.highest - counter;
    if (age >= kReplayWindow)
        return false;
    const std::uint64_t bit = std::uint64_t{ 1 } << age;
    if ((window.seen & bit) != 0)
        return false;
    window.seen |= bit;
    return true;
}

} // namespace egret
