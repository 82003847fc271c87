#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace egret {

/// Names of the values of an enum. Generated code specialises the template.
template <class T> struct EnumNames;

/// Formats that a schema can require of a text field in JSON. `hex64` is 64 lowercase hexadecimal
/// digits, such as a digest of 32 bytes.
enum class FieldPattern : std::uint8_t { any, name, hex64, endpoint, url, path };

/// Constraints on a JSON field.
struct FieldRule
{
    bool required{ true };      ///< false for a field with a default value
    std::uint64_t minimum{ 0 }; ///< smallest value of an integer or a duration
    std::uint64_t maximum{ std::numeric_limits<std::uint64_t>::max() };
    FieldPattern pattern{ FieldPattern::any }; ///< format of a text
};

/// A struct that is generated from schema/.
template <class T>
concept Structured = requires(T &value)
{
    T::eachField(value, [](auto &) {});
};

/// Limit on each length on the wire: the bytes of a text or a frame, and the elements of a list.
inline constexpr std::uint32_t kMaxWireLength = 4U << 20U;

/// Serializes values in cereal's portable binary format. Not thread safe.
class WireWriter
{
public:
    explicit WireWriter(std::ostream &stream) : archive(stream) {}

    /// Appends one value of any type that a schema can name.
    template <class T> void write(const T &value)
    {
        if constexpr (std::is_same_v<T, std::string>) {
            this->archive(static_cast<std::uint32_t>(value.size()));
            this->archive(cereal::binary_data(value.data(), value.size()));
        } else if constexpr (std::is_enum_v<T>) {
            this->archive(static_cast<std::uint8_t>(value));
        } else if constexpr (std::is_arithmetic_v<T>) {
            this->archive(value);
        } else if constexpr (Structured<T>) {
            T::eachField(value, [this](const auto &field) { this->write(field); });
        } else {
            this->writeCompound(value);
        }
    }

private:
    template <class Rep, class Period>
    void writeCompound(const std::chrono::duration<Rep, Period> &value)
    {
        this->archive(static_cast<std::int64_t>(value.count()));
    }

    template <class T> void writeCompound(const std::vector<T> &values)
    {
        this->archive(static_cast<std::uint32_t>(values.size()));
        for (const auto &value : values)
            this->write(value);
    }

    template <class T> void writeCompound(const std::optional<T> &value)
    {
        this->archive(value.has_value());
        if (value)
            this->write(*value);
    }

    template <class... Ts> void writeCompound(const std::variant<Ts...> &value)
    {
        this->archive(static_cast<std::uint8_t>(value.index()));
        std::visit([this](const auto &alternative) { this->write(alternative); }, value);
    }

    cereal::PortableBinaryOutputArchive archive;
};

/// Deserializes values that WireWriter wrote. Throws std::runtime_error on malformed
/// or hostile bytes. A wrong length of a text makes the reader allocate at most kMaxWireLength;
/// a list grows only as its elements are read. Not thread safe.
class WireReader
{
public:
    explicit WireReader(std::istream &stream) : archive(stream) {}

    /// Reads the next value into `value`.
    template <class T> void read(T &value)
    {
        if constexpr (std::is_same_v<T, std::string>) {
            value.resize(this->readSize());
            this->archive(cereal::binary_data(value.data(), value.size()));
        } else if constexpr (std::is_enum_v<T>) {
            std::uint8_t number = 0;
            this->archive(number);
            if (number >= std::size(EnumNames<T>::kValues))
                throw std::runtime_error("enumeration value out of range");
            value = static_cast<T>(number);
        } else if constexpr (std::is_arithmetic_v<T>) {
            this->archive(value);
        } else if constexpr (Structured<T>) {
            T::eachField(value, [this](auto &field) { this->read(field); });
        } else {
            this->readCompound(value);
        }
    }

private:
    std::uint32_t readSize()
    {
        std::uint32_t size = 0;
        this->archive(size);
        if (size > kMaxWireLength)
            throw std::runtime_error("length out of bounds");
        return size;
    }

    template <class Rep, class Period> void readCompound(std::chrono::duration<Rep, Period> &value)
    {
        std::int64_t count = 0;
        this->archive(count);
        value = std::chrono::duration<Rep, Period>(count);
    }

    template <class T> void readCompound(std::vector<T> &values)
    {
        const std::uint32_t size = this->readSize();
        values.clear();
        // The list grows element by element. With a wrong length, the read fails at the end
        // of the input before memory is exhausted.
        for (std::uint32_t i = 0; i < size; ++i)
            this->read(values.emplace_back());
    }

    template <class T> void readCompound(std::optional<T> &value)
    {
        bool hasValue = false;
        this->archive(hasValue);
        value.reset();
        if (hasValue)
            this->read(value.emplace());
    }

    template <class... Ts> void readCompound(std::variant<Ts...> &value)
    {
        std::uint8_t index = 0;
        this->archive(index);
        if (index >= sizeof...(Ts))
            throw std::runtime_error("variant index out of range");
        this->readAlternative(value, index, std::index_sequence_for<Ts...>{});
    }

    /// Reads the alternative with number `index`. The fold expression turns the run-time index
    /// into a template argument.
    template <class Variant, std::size_t... Is>
    void readAlternative(Variant &value, std::uint8_t index, std::index_sequence<Is...>)
    {
        const auto readAt = [this, &value]<std::size_t I>() {
            this->read(value.template emplace<I>());
        };
        (void)((index == Is ? (readAt.template operator()<Is>(), true) : false) || ...);
    }

    cereal::PortableBinaryInputArchive archive;
};

/// Encodes one value for a frame or the quorum log. Thread safe.
template <class T> std::string encode(const T &value);

/// Decodes one value; empty when `bytes` is malformed or continues after the
/// value. Thread safe.
template <class T> std::optional<T> decode(const std::string &bytes);

} // namespace egret

#include "codec_inl.h"
