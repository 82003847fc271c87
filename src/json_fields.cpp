#include "json_fields.h"

#include "types.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace egret {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kDigestDigits = 64;

bool isNameCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '_' || c == '-';
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= kMaxNameLength
           && std::isalnum(static_cast<unsigned char>(text.front())) != 0
           && std::ranges::all_of(text, isNameCharacter);
}

bool isHex64(const std::string &text)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == kDigestDigits && std::ranges::all_of(text, isDigit);
}

bool isEndpoint(const std::string &text)
{
    const auto endpoint = Endpoint::parse(text);
    const auto isAddressCharacter = [](char c) {
        return std::isdigit(static_cast<unsigned char>(c)) != 0 || c == '.';
    };
    return endpoint && std::ranges::all_of(endpoint->address, isAddressCharacter);
}

} // namespace

bool matchesPattern(FieldPattern pattern, const std::string &text)
{
    switch (pattern) {
    case FieldPattern::any:
        return true;
    case FieldPattern::name:
        return isName(text);
    case FieldPattern::hex64:
        return isHex64(text);
    case FieldPattern::endpoint:
        return isEndpoint(text);
    case FieldPattern::url:
        return text.starts_with("http://") || text.starts_with("https://");
    case FieldPattern::path:
        return text.starts_with("/");
    }
    return false;
}

const char *patternName(FieldPattern pattern)
{
    static constexpr std::array names = { "any text",
                                          "a name of letters, digits, '.', '_' and '-'",
                                          "64 lower-case hexadecimal digits",
                                          "an IP address and port",
                                          "an http or https URL",
                                          "a path that starts with '/'" };
    return names.at(static_cast<std::size_t>(pattern));
}

std::optional<nlohmann::json> parseJson(const std::string &text, JsonProblem &problem)
{
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::exception &error) {
        problem = JsonProblem{ .path = "$", .detail = error.what() };
        return std::nullopt;
    }
}

bool JsonReader::readText(const nlohmann::json &source, std::string &target, const FieldRule &rule,
                          const std::string &path)
{
    if (!source.is_string())
        return this->reject(path, "a text is expected");
    target = source.get<std::string>();
    if (!matchesPattern(rule.pattern, target))
        return this->reject(path, std::string(patternName(rule.pattern)) + " is expected");
    return true;
}

bool JsonReader::readBool(const nlohmann::json &source, bool &target, const std::string &path)
{
    if (!source.is_boolean())
        return this->reject(path, "true or false is expected");
    target = source.get<bool>();
    return true;
}

bool JsonReader::readFloat(const nlohmann::json &source, double &target, const std::string &path)
{
    if (!source.is_number())
        return this->reject(path, "a number is expected");
    target = source.get<double>();
    return true;
}

bool JsonReader::readUnsigned(const nlohmann::json &source, std::uint64_t &target,
                              const FieldRule &rule, const std::string &path)
{
    if (!source.is_number_unsigned())
        return this->reject(path, "a whole number of 0 or more is expected");
    target = source.get<std::uint64_t>();
    if (target < rule.minimum)
        return this->reject(path, "is less than " + std::to_string(rule.minimum));
    if (target > rule.maximum)
        return this->reject(path, "is more than " + std::to_string(rule.maximum));
    return true;
}

bool JsonReader::readCount(const nlohmann::json &source, std::uint64_t &target,
                           const FieldRule &rule, const std::string &path)
{
    constexpr double tooLarge = 1e18;
    if (!source.is_number_float())
        return this->readUnsigned(source, target, rule, path);
    const auto number = source.get<double>();
    if (!(number >= 0 && number < tooLarge))
        return this->reject(path, "a number of 0 or more is expected");
    return this->readUnsigned(static_cast<std::uint64_t>(number), target, rule, path);
}

} // namespace egret
