#include "prompt_prefix.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace egret {

namespace {

/// Number of bytes at the beginning of a prompt or message that form its prefix.
constexpr std::size_t kPrefixBytes = 512;

/// Returns the text of the first message or of the prompt; null if the request has neither.
const std::string *prefixText(const nlohmann::json &body)
{
    const auto messages = body.find("messages");
    if (messages != body.end() && messages->is_array() && !messages->empty()) {
        const auto &first = messages->front();
        const auto content = first.is_object() ? first.find("content") : first.end();
        return first.is_object() && content != first.end() ? content->get_ptr<const std::string *>()
                                                           : nullptr;
    }
    const auto prompt = body.find("prompt");
    return prompt == body.end() ? nullptr : prompt->get_ptr<const std::string *>();
}

} // namespace

std::uint64_t promptPrefix(const nlohmann::json &body)
{
    const std::string *text = prefixText(body);
    if (text == nullptr || text->empty())
        return 0;
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    const std::size_t size = std::min(text->size(), kPrefixBytes);
    for (std::size_t i = 0; i < size; ++i)
        hash = (hash ^ static_cast<unsigned char>((*text)[i])) * 0x100000001b3ULL;
    return hash;
}

} // namespace egret
