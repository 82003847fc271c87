#pragma once

#include "types.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

namespace egret {

/// Checks a property once, with the seed in RC_PARAMS. When EGRET_FUZZ_SECONDS is
/// set, repeats the check with increasing seeds for EGRET_FUZZ_SECONDS seconds. A
/// failure prints the seed with which to reproduce the failure.
template <class Property> void fuzz(Property property)
{
    const char *seconds = std::getenv("EGRET_FUZZ_SECONDS");
    const Seconds duration(seconds == nullptr ? 0 : std::atoi(seconds));
    const TimePoint end = std::chrono::steady_clock::now() + duration;
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    do {
        const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
        if (!result.template is<rc::detail::SuccessResult>()) {
            rc::detail::printResultMessage(result, std::cerr);
            ADD_FAILURE() << "replay with RC_PARAMS=\"seed=" << params.seed << "\"";
            return;
        }
        ++params.seed;
    } while (std::chrono::steady_clock::now() < end);
}

} // namespace egret
