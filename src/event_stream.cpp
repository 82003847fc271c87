#include "event_stream.h"

#include <nlohmann/json.hpp>

namespace egret {

namespace {

constexpr std::string_view kEventSeparator = "\n\n";
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEndPayload = "[DONE]";
/// An event that contains this field counts as one token.
constexpr std::string_view kTokenField = "\"choices\"";
constexpr std::size_t kMaxEventBytes = 1U << 20U;

std::string stringField(const nlohmann::json &body, const char *name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : "";
}

} // namespace

const char *streamFaultName(StreamFault fault)
{
    switch (fault) {
    case StreamFault::none:
        return "none";
    case StreamFault::wrongIdentity:
        return "answer-crossed";
    case StreamFault::versionChanged:
        return "version-changed";
    case StreamFault::oversizeEvent:
        return "event-too-large";
    }
    return "unknown";
}

void EventStream::begin(std::string identity)
{
    this->identity = std::move(identity);
    this->buffer.clear();
    this->isFirstEventChecked = false;
    this->hasEndMark = false;
    this->streamFault = StreamFault::none;
}

std::string EventStream::consume(const std::string &bytes)
{
    this->buffer += bytes;
    std::string events;
    std::size_t begin = 0;
    while (this->streamFault == StreamFault::none) {
        const auto end = this->buffer.find(kEventSeparator, begin);
        if (end == std::string::npos)
            break;
        const std::string event = this->buffer.substr(begin, end - begin);
        begin = end + kEventSeparator.size();
        if (event.starts_with(kDataPrefix)
            && event.compare(kDataPrefix.size(), event.npos, kEndPayload) == 0) {
            this->hasEndMark = true;
            continue;
        }
        this->checkFirstEvent(event);
        if (this->streamFault != StreamFault::none)
            break;
        this->tokenCount += event.find(kTokenField) == std::string::npos ? 0 : 1;
        events += event;
        events += kEventSeparator;
    }
    this->buffer.erase(0, begin);
    if (this->buffer.size() > kMaxEventBytes)
        this->streamFault = StreamFault::oversizeEvent;
    return events;
}

/// Checks the identity and weights version in the first event of an attempt. Later events
/// are not checked, because all events of an attempt come over the same connection.
void EventStream::checkFirstEvent(const std::string &event)
{
    if (this->isFirstEventChecked || !event.starts_with(kDataPrefix))
        return;
    this->isFirstEventChecked = true;
    const auto body = nlohmann::json::parse(event.substr(kDataPrefix.size()), nullptr, false);
    if (!body.is_object())
        return;
    const std::string id = stringField(body, "id");
    if (!id.empty() && id != this->identity) {
        this->streamFault = StreamFault::wrongIdentity;
        return;
    }
    const std::string version = stringField(body, "system_fingerprint");
    if (this->tokenCount > 0 && version != this->weightsVersion)
        this->streamFault = StreamFault::versionChanged;
    this->weightsVersion = version;
}

} // namespace egret
