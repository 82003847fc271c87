#include "frame.h"

#include "compression.h"
#include "digest.h"

#include <sstream>

namespace egret {

namespace {

/// Number of counters in the sliding window, which ends at the highest accepted counter.
/// Window::seenBits has one bit per counter. A frame whose counter is below the window is rejected.
constexpr std::uint64_t kReplayWindow = 64;

/// Sets `message` to an empty message of the type with this id; false when the id is unknown.
template <std::size_t... Is>
bool emplaceById(Message &message, std::uint16_t messageId, std::index_sequence<Is...>)
{
    return ((kMessageIds[Is] == messageId ? (message.emplace<Is>(), true) : false) || ...);
}

bool emplaceById(Message &message, std::uint16_t messageId)
{
    return emplaceById(message, messageId,
                       std::make_index_sequence<std::variant_size_v<Message>>{});
}

/// True for messages that carry configuration texts of operators. These texts are long and
/// repetitive, and therefore compress well.
bool carriesText(const Message &message)
{
    return std::holds_alternative<AppendRequest>(message)
           || std::holds_alternative<SnapshotPart>(message)
           || std::holds_alternative<ControlRequest>(message)
           || std::holds_alternative<ControlReply>(message)
           || std::holds_alternative<DocumentPush>(message)
           || std::holds_alternative<View>(message);
}

std::string encodeBody(const Message &message)
{
    std::ostringstream stream;
    WireWriter writer(stream);
    std::visit([&writer](const auto &body) { writer.write(body); }, message);
    return std::move(stream).str();
}

/// Decodes `body` into `message`, whose type is already set; false when bytes are left over.
bool decodeBody(Message &message, std::string body)
{
    std::istringstream stream(std::move(body));
    WireReader reader(stream);
    std::visit([&reader](auto &decoded) { reader.read(decoded); }, message);
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
    std::uint64_t frameCounter = 0;
    {
        const std::lock_guard lock(this->mutex);
        frameCounter = ++this->counter;
    }
    std::ostringstream stream;
    WireWriter writer(stream);
    writer.write(kFrameVersion);
    writer.write(this->options.cluster);
    writer.write(this->options.sender);
    writer.write(this->options.incarnation);
    writer.write(frameCounter);
    writer.write(kMessageIds[message.index()]);
    const std::string body = encodeBody(message);
    const auto compressed = carriesText(message) ? compressBytes(body) : std::nullopt;
    writer.write(static_cast<std::uint32_t>(compressed ? body.size() : 0));
    std::string bytes = std::move(stream).str();
    bytes += compressed ? *compressed : body;
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
    // Step 2. Decode the header, which contains the message type, then the body.
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
        std::uint16_t messageId = 0;
        reader.read(messageId);
        if (!emplaceById(frame.message, messageId))
            return fail(reason, FrameError::garbage,
                        "unknown message id " + std::to_string(messageId));
        std::uint32_t originalSize = 0;
        reader.read(originalSize);
        if (originalSize > kMaxFrameBytes)
            return fail(reason, FrameError::oversize, std::to_string(originalSize));
        std::string body(content.substr(static_cast<std::size_t>(stream.tellg())));
        if (originalSize > 0) {
            auto decompressed = decompressBytes(body, originalSize);
            if (!decompressed)
                return fail(reason, FrameError::garbage,
                            "compressed body is damaged or its size differs from the size in the "
                            "header");
            body = std::move(*decompressed);
        }
        if (!decodeBody(frame.message, std::move(body)))
            return fail(reason, FrameError::garbage, "unexpected bytes after the message body");
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
    if (counter > window.highestCounter) {
        const std::uint64_t shift = counter - window.highestCounter;
        window.seenBits = shift >= kReplayWindow ? 0 : window.seenBits << shift;
        window.seenBits |= 1U;
        window.highestCounter = counter;
        return true;
    }
    const std::uint64_t distance = window.highestCounter - counter;
    if (distance >= kReplayWindow)
        return false;
    const std::uint64_t bit = std::uint64_t{ 1 } << distance;
    if ((window.seenBits & bit) != 0)
        return false;
    window.seenBits |= bit;
    return true;
}

} // namespace egret
