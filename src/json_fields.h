#pragma once

#include "codec.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <set>
#include <string>

namespace egret {

/// Error in a JSON document: path of the rejected value and description of the error.
struct JsonProblem
{
    std::string path;
    std::string detail;

    /// "path: detail". Thread safe.
    std::string text() const { return this->path + ": " + this->detail; }
};

/// True when `text` has the format of `pattern`. Thread safe.
bool matchesPattern(FieldPattern pattern, const std::string &text);

/// Readable name of a pattern for error messages. Thread safe.
const char *patternName(FieldPattern pattern);

/// Parses JSON with comments; returns empty and fills `problem` when `text` is
/// malformed. Thread safe.
std::optional<nlohmann::json> parseJson(const std::string &text, JsonProblem &problem);

/// Reads generated structs from JSON and rejects unknown, missing and malformed
/// fields. Not thread safe.
class JsonReader
{
public:
    /// Reads the object `source` into `target`. Returns false and fills `problem` at the
    /// first rejected field.
    template <class T> bool read(const nlohmann::json &source, T &target)
    {
        return this->readStruct(source, target, "$");
    }

    JsonProblem problem; ///< error of the last `read` that returned false

private:
    bool reject(const std::string &path, std::string detail)
    {
        this->problem = JsonProblem{ .path = path, .detail = std::move(detail) };
        return false;
    }

    template <class T>
    bool readStruct(const nlohmann::json &source, T &target, const std::string &path)
    {
        if (!source.is_object())
            return this->reject(path, "an object is expected");
        bool isValid = true;
        std::set<std::string> knownNames;
        T::eachNamedField(target, [&](const char *name, auto &field, const FieldRule &rule) {
            knownNames.insert(name);
            if (isValid)
                isValid = this->readField(source, name, field, rule, path + "." + name);
        });
        if (!isValid)
            return false;
        for (const auto &[name, value] : source.items()) {
            if (!knownNames.contains(name))
                return this->reject(path + "." + name, "unknown field");
        }
        return true;
    }

    template <class T> bool readField(const nlohmann::json &source, const char *name, T &field,
                                      const FieldRule &rule, const std::string &path)
    {
        const auto found = source.find(name);
        if (found != source.end())
            return this->readValue(*found, field, rule, path);
        if (rule.required)
            return this->reject(path, "required field is missing");
        return true;
    }

    template <class T> bool readValue(const nlohmann::json &source, T &target,
                                      const FieldRule &rule, const std::string &path)
    {
        if constexpr (std::is_same_v<T, std::string>)
            return this->readText(source, target, rule, path);
        else if constexpr (std::is_same_v<T, bool>)
            return this->readBool(source, target, path);
        else if constexpr (std::is_enum_v<T>)
            return this->readEnum(source, target, path);
        else if constexpr (std::is_floating_point_v<T>)
            return this->readFloat(source, target, path);
        else if constexpr (std::is_integral_v<T>)
            return this->readInteger(source, target, rule, path);
        else if constexpr (Structured<T>)
            return this->readStruct(source, target, path);
        else
            return this->readCompound(source, target, rule, path);
    }

    bool readText(const nlohmann::json &source, std::string &target, const FieldRule &rule,
                  const std::string &path);
    bool readBool(const nlohmann::json &source, bool &target, const std::string &path);
    bool readFloat(const nlohmann::json &source, double &target, const std::string &path);
    bool readUnsigned(const nlohmann::json &source, std::uint64_t &target, const FieldRule &rule,
                      const std::string &path);
    /// Reads a number of time units. A fraction is rounded down, because most times are limits.
    bool readCount(const nlohmann::json &source, std::uint64_t &target, const FieldRule &rule,
                   const std::string &path);

    template <class T> bool readInteger(const nlohmann::json &source, T &target,
                                        const FieldRule &rule, const std::string &path)
    {
        std::uint64_t value = 0;
        if (!this->readUnsigned(source, value, rule, path))
            return false;
        if (value > std::numeric_limits<T>::max())
            return this->reject(path, "number is too large");
        target = static_cast<T>(value);
        return true;
    }

    template <class T>
    bool readEnum(const nlohmann::json &source, T &target, const std::string &path)
    {
        const auto &names = EnumNames<T>::kValues;
        for (std::size_t i = 0; source.is_string() && i < std::size(names); ++i) {
            if (source == names[i]) {
                target = static_cast<T>(i);
                return true;
            }
        }
        std::string choices;
        for (const char *name : names)
            choices += (choices.empty() ? "" : ", ") + std::string(name);
        return this->reject(path, "one of " + choices + " is expected");
    }

    template <class Rep, class Period>
    bool readCompound(const nlohmann::json &source, std::chrono::duration<Rep, Period> &target,
                      const FieldRule &rule, const std::string &path)
    {
        std::uint64_t value = 0;
        if (!this->readCount(source, value, rule, path))
            return false;
        target = std::chrono::duration<Rep, Period>(static_cast<Rep>(value));
        return true;
    }

    template <class T> bool readCompound(const nlohmann::json &source, std::vector<T> &target,
                                         const FieldRule &rule, const std::string &path)
    {
        if (!source.is_array())
            return this->reject(path, "an array is expected");
        target.clear();
        for (std::size_t i = 0; i < source.size(); ++i) {
            const std::string itemPath = path + "[" + std::to_string(i) + "]";
            if (!this->readValue(source[i], target.emplace_back(), rule, itemPath))
                return false;
        }
        return true;
    }

    template <class T> bool readCompound(const nlohmann::json &source, std::optional<T> &target,
                                         const FieldRule &rule, const std::string &path)
    {
        target.reset();
        return source.is_null() || this->readValue(source, target.emplace(), rule, path);
    }
};

template <class T> inline constexpr bool kIsVector = false;
template <class T> inline constexpr bool kIsVector<std::vector<T>> = true;

/// Converts a generated struct or enum to JSON: an enum to the name of its value, a duration
/// to its count, an empty optional to null. Thread safe.
template <class T> nlohmann::json toJson(const T &value)
{
    if constexpr (std::is_enum_v<T>) {
        return EnumNames<T>::kValues[static_cast<std::size_t>(value)];
    } else if constexpr (requires { value.count(); }) {
        return value.count();
    } else if constexpr (requires { T::eachNamedField(value, [](auto &&...) {}); }) {
        nlohmann::json out = nlohmann::json::object();
        T::eachNamedField(value, [&out](const char *name, const auto &field, const FieldRule &) {
            out[name] = toJson(field);
        });
        return out;
    } else if constexpr (kIsVector<T>) {
        nlohmann::json out = nlohmann::json::array();
        for (const auto &item : value)
            out.push_back(toJson(item));
        return out;
    } else if constexpr (requires { value.has_value(); }) {
        return value ? toJson(*value) : nlohmann::json();
    } else {
        return value;
    }
}

} // namespace egret
