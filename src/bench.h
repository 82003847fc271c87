#pragma once

#include <string>
#include <vector>

namespace egret {

/// Signature of the decisions of one part of the decision logic.
struct BenchPart
{
    std::string name;
    std::string signature;
};

/// Runs each part of the decision logic on fixed seeds. The signature of a part changes
/// if and only if a decision of the part changes. Thread safe.
std::vector<BenchPart> benchParts();

/// Signature over the signatures of all parts. Thread safe.
std::string benchSignature(const std::vector<BenchPart> &parts);

} // namespace egret
