#pragma once

#include "types.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace egret {

/// Endpoint at the loopback address `address` with a TCP port that was free at the time of the
/// call.
inline Endpoint freeLoopback(const std::string &address)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address(address), 0 });
    return { .address = address, .port = acceptor.local_endpoint().port() };
}

} // namespace egret
