#pragma once

#include <string>
#include <vector>

namespace egret {

/// Signature of one part of the decision logic: a digest of the decisions that the part makes
/// on fixed seeds.
struct BenchPart
{
    std::string name;
    std::string signature;
};

/// Runs each part of the decision logic on fixed seeds. The signature of a part changes
/// if and only if a decision in its run changes. Thread safe.
std::vector<BenchPart> benchParts();

/// Digest of the signatures of all parts. Thread safe.
std::string benchSignature(const std::vector<BenchPart> &parts);

} // namespace egret
