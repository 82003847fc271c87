#pragma once

#include "generated/document.h"

#include <string>

namespace egret {

/// Checks the rules that no FieldRule expresses, such as unique names. Returns the first error
/// as "path: detail", empty when the document is valid. Precondition: JsonReader has
/// accepted each field. Thread safe.
std::string documentError(const EnvironmentDocument &document);

} // namespace egret
