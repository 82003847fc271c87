#pragma once

#include "http_reader.h"

#include <string>

namespace egret {

/// Digest of what makes a request the same when a client sends it again: the caller, method, target
/// and body, but neither ids nor other headers. 32 hexadecimal digits. Thread safe.
std::string requestDigest(const std::string &caller, const HttpRequest &request);

} // namespace egret
