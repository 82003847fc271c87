#pragma once

#include "generated/document.h"

#include <string>

namespace egret {

/// What is wrong with a document whose fields are each well-formed, as "path:
/// detail"; empty when nothing is. Thread safe.
std::string documentError(const EnvironmentDocument &document);

} // namespace egret
