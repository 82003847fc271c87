#pragma once

#include <exception>
#include <sstream>

namespace egret {

template <class T> std::string encode(const T &value)
{
    std::ostringstream stream;
    WireWriter(stream).write(value);
    return std::move(stream).str();
}

template <class T> std::optional<T> decode(const std::string &bytes)
{
    std::istringstream stream(bytes);
    try {
        T value;
        WireReader(stream).read(value);
        if (stream.peek() != std::istringstream::traits_type::eof())
            return std::nullopt;
        return value;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace egret
