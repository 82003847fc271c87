#include "gate.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

/// Returns a request under a claim with the given fence, bound to the given incarnation of
/// the gate.
ServeRequest requestUnderClaim(std::uint64_t fence, std::uint64_t incarnation)
{
    ServeRequest request;
    request.claim =
            ClaimTag{ .claimId = "customer/key", .fence = fence, .gateIncarnation = incarnation };
    return request;
}

} // namespace

TEST(Gate, AdmitsAClaimOnce)
{
    Gate gate(GateOptions{ .seed = 1, .limit = 4 });
    EXPECT_TRUE(gate.admit(requestUnderClaim(5, 1)).admitted);
    EXPECT_EQ(gate.admit(requestUnderClaim(5, 1)).reason, "claim-closed");
}

TEST(Gate, RefusesAClaimOfAnotherGateIncarnation)
{
    Gate gate(GateOptions{ .seed = 2, .limit = 4 });
    EXPECT_EQ(gate.admit(requestUnderClaim(5, 1)).reason, "claim-of-another-gate");
}

TEST(Gate, RefusesALateCopyOfAClosedClaim)
{
    Gate gate(GateOptions{ .seed = 1, .limit = 4 });
    const ClaimProbeReply reply =
            gate.probe({ .probeId = 1, .claim = *requestUnderClaim(5, 1).claim });
    EXPECT_EQ(reply.actionStatus, ActionStatus::notRun);
    EXPECT_EQ(gate.admit(requestUnderClaim(5, 1)).reason, "claim-closed");
    EXPECT_TRUE(gate.admit(requestUnderClaim(6, 1)).admitted);
}

TEST(Gate, RefusesADuplicateAndReportsTheClaimStatus)
{
    Gate gate(GateOptions{ .seed = 1, .limit = 4 });
    ASSERT_TRUE(gate.admit(requestUnderClaim(5, 1)).admitted);
    EXPECT_EQ(gate.admit(requestUnderClaim(5, 1)).actionStatus, ActionStatus::running);
    gate.finish(requestUnderClaim(5, 1), ActionStatus::unknown);
    // Even a higher fence does not admit a key that may have run.
    EXPECT_FALSE(gate.admit(requestUnderClaim(6, 1)).admitted);
    EXPECT_EQ(gate.probe({ .claim = *requestUnderClaim(6, 1).claim }).actionStatus,
              ActionStatus::unknown);
}

TEST(Gate, AdmitsAKeyAgainWhenNothingWasSentToTheUpstream)
{
    Gate gate(GateOptions{ .seed = 1, .limit = 4 });
    ASSERT_TRUE(gate.admit(requestUnderClaim(5, 1)).admitted);
    gate.finish(requestUnderClaim(5, 1), ActionStatus::notRun);
    EXPECT_FALSE(gate.admit(requestUnderClaim(5, 1)).admitted);
    EXPECT_TRUE(gate.admit(requestUnderClaim(6, 1)).admitted);
}

TEST(Gate, NeverAdmitsAnEvictedClaim)
{
    Gate gate(GateOptions{ .seed = 1, .limit = 4, .maxClaims = 2 });
    for (std::uint64_t fence = 5; fence < 9; ++fence) {
        ServeRequest request = requestUnderClaim(fence, 1);
        request.claim->claimId = "customer/" + std::to_string(fence);
        ASSERT_TRUE(gate.admit(request).admitted);
        gate.finish(request, ActionStatus::run, StoredAnswer{ .status = 201, .body = "b" });
    }
    EXPECT_EQ(gate.claimCount(), 2U);
    ServeRequest lateRequest = requestUnderClaim(5, 1);
    lateRequest.claim->claimId = "customer/5";
    EXPECT_EQ(gate.admit(lateRequest).reason, "claim-too-old");
    EXPECT_EQ(gate.probe({ .claim = *lateRequest.claim }).actionStatus, ActionStatus::unknown);
}

TEST(Gate, EvictsOldAnswersOverTheByteLimit)
{
    Gate gate(GateOptions{ .seed = 1, .limit = 4, .maxAnswerBytes = 10 });
    for (std::uint64_t fence = 5; fence < 7; ++fence) {
        ServeRequest request = requestUnderClaim(fence, 1);
        request.claim->claimId = "customer/" + std::to_string(fence);
        ASSERT_TRUE(gate.admit(request).admitted);
        gate.finish(request, ActionStatus::run, StoredAnswer{ .status = 201, .body = "12345678" });
    }
    ServeRequest first = requestUnderClaim(5, 1);
    first.claim->claimId = "customer/5";
    const ClaimProbeReply reply = gate.probe({ .claim = *first.claim });
    EXPECT_EQ(reply.actionStatus, ActionStatus::run);
    EXPECT_FALSE(reply.answer);
}
