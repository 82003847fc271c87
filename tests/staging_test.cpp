#include "staging.h"

#include "source_pool.h"

#include "fuzz.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

/// Reports the tasks of a `Staging` as done until all pieces are collected.
void collect(Staging &staging, TimePoint now)
{
    EXPECT_EQ(staging.next(now), StagingTask::fetchManifest);
    staging.onManifest();
    EXPECT_EQ(staging.next(now), StagingTask::checkHeld);
    staging.onHeldChecked(staging.taskNumber(), HeldPieces::some, now);
    EXPECT_EQ(staging.next(now), StagingTask::collect);
    staging.onCollected(now);
}

/// Brings `staging` to the load order of `target` and returns the order's number.
std::uint64_t startOrder(Staging &staging, std::uint64_t target)
{
    staging.setTarget(target, false, kStart);
    staging.onEngineStatus({ .version = 1 }, kStart);
    collect(staging, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::readBack);
    staging.onReadBack(staging.taskNumber(), true, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::order);
    return staging.taskNumber();
}

} // namespace

TEST(Staging, PiecesAreReadBackRightBeforeTheOrder)
{
    Staging staging;
    staging.setTarget(2, true, kStart);
    staging.onEngineStatus({ .version = 1 }, kStart);
    collect(staging, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::readBack);
    staging.onReadBack(staging.taskNumber(), true, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::order);
    staging.onOrdered(staging.taskNumber(), OrderReply::started, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::none);
    staging.onEngineStatus({ .version = 2 }, kStart);
    EXPECT_EQ(staging.next(kStart + 9s), StagingTask::none);
    EXPECT_TRUE(staging.isLoaded());
}

TEST(Staging, DamagedPiecesAreCollectedAgain)
{
    Staging staging;
    staging.setTarget(2, true, kStart);
    staging.onEngineStatus({ .version = 1 }, kStart);
    collect(staging, kStart);
    staging.next(kStart);
    staging.onReadBack(staging.taskNumber(), false, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::collect);
}

TEST(Staging, AnOldReadBackIsRepeated)
{
    Staging staging({ .verificationLifetime = 700ms });
    staging.setTarget(2, true, kStart);
    staging.onEngineStatus({ .version = 1 }, kStart);
    collect(staging, kStart);
    staging.next(kStart);
    staging.onReadBack(staging.taskNumber(), true, kStart);
    staging.onEngineStatus({ .version = 1, .isBusy = true }, kStart);
    EXPECT_EQ(staging.next(kStart + 1s), StagingTask::none);
    staging.onEngineStatus({ .version = 1 }, kStart);
    EXPECT_EQ(staging.next(kStart + 1s), StagingTask::readBack);
}

TEST(Staging, EnginesLoadInRolloutOrderUnlessTheyServeNoVersion)
{
    Staging staging({ .rolloutLimit = 8s, .lastLoadLead = 1s });
    staging.setTarget(2, true, kStart);
    staging.setRolloutPosition(0.5);
    staging.onEngineStatus({ .version = 1 }, kStart);
    collect(staging, kStart + 3s);
    EXPECT_EQ(staging.next(kStart + 4900ms), StagingTask::none);
    staging.onEngineStatus({ .version = 0 }, kStart);
    EXPECT_EQ(staging.next(kStart + 4900ms), StagingTask::readBack);
    staging.onReadBack(staging.taskNumber(), true, kStart + 4s);
    staging.onEngineStatus({ .version = 1 }, kStart);
    EXPECT_EQ(staging.next(kStart + 5s), StagingTask::readBack);
}

TEST(Staging, AnEngineStagedTooLateLoadsAtOnce)
{
    Staging staging({ .rolloutLimit = 8s });
    staging.setTarget(2, true, kStart);
    staging.setRolloutPosition(1);
    staging.onEngineStatus({ .version = 1 }, kStart);
    collect(staging, kStart + 9s);
    EXPECT_EQ(staging.next(kStart + 9s), StagingTask::readBack);
}

TEST(Staging, ALostOrderIsRepeatedOnlyWhenTheEngineIsIdle)
{
    Staging staging({ .orderTimeout = 1s });
    staging.setTarget(2, false, kStart);
    staging.onEngineStatus({ .version = 1 }, kStart);
    collect(staging, kStart);
    staging.next(kStart);
    staging.onReadBack(staging.taskNumber(), true, kStart);
    staging.next(kStart);
    staging.onOrdered(staging.taskNumber(), OrderReply::unknown, kStart);
    staging.onEngineStatus({ .version = 1, .isBusy = true }, kStart);
    EXPECT_EQ(staging.next(kStart + 5s), StagingTask::none);
    staging.onEngineStatus({ .version = 1 }, kStart);
    EXPECT_EQ(staging.next(kStart + 5s), StagingTask::readBack);
}

TEST(Staging, ANewerVersionRestartsStaging)
{
    Staging staging;
    staging.setTarget(2, true, kStart);
    staging.onEngineStatus({ .version = 1 }, kStart);
    collect(staging, kStart);
    staging.next(kStart);
    staging.setTarget(3, true, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::fetchManifest);
    staging.setTarget(2, true, kStart);
    EXPECT_EQ(staging.target(), 3U);
}

// Guards against an order that ends late and moves a newer target past its manifest and pieces.
TEST(Staging, AnOrderThatEndsAfterTheTargetChangedLeavesTheNewTargetAtItsManifest)
{
    for (const OrderReply reply : { OrderReply::started, OrderReply::unknown }) {
        Staging staging({ .orderTimeout = 1s });
        const std::uint64_t order = startOrder(staging, 2);
        staging.setTarget(3, true, kStart);
        staging.onOrdered(order, reply, kStart + 10ms);
        EXPECT_EQ(staging.next(kStart + 10ms), StagingTask::fetchManifest);
        EXPECT_EQ(staging.next(kStart + 3s), StagingTask::none);
        EXPECT_TRUE(staging.lacksManifest());
    }
}

// Guards against pieces of a new target that are staged while the engine may still take the staged
// bytes for an earlier order.
TEST(Staging, NoPieceOfANewTargetIsStagedWhileAnEarlierOrderMayBeAccepted)
{
    Staging staging({ .orderTimeout = 1s });
    const std::uint64_t order = startOrder(staging, 2);
    staging.setTarget(3, true, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::fetchManifest);
    staging.onManifest();
    EXPECT_EQ(staging.next(kStart + 500ms), StagingTask::none);
    staging.onOrdered(order, OrderReply::unknown, kStart + 1s);
    EXPECT_EQ(staging.next(kStart + 1900ms), StagingTask::none);
    Staging answered = staging;
    answered.onEngineStatus({ .version = 1, .isBusy = true }, kStart + 1100ms);
    EXPECT_EQ(answered.next(kStart + 1100ms), StagingTask::checkHeld);
    EXPECT_EQ(staging.next(kStart + 2s), StagingTask::checkHeld);
}

// Guards against a read-back that an earlier write, still on its way, makes worthless.
TEST(Staging, PiecesAreReadBackOnlyOnceNoWriteCanBeStored)
{
    Staging staging({ .writeTimeout = 1s });
    staging.onWriteStarted();
    staging.setTarget(2, false, kStart);
    staging.onEngineStatus({ .version = 1 }, kStart);
    collect(staging, kStart);
    EXPECT_EQ(staging.next(kStart + 100ms), StagingTask::none);
    staging.onWriteEnded(false, kStart + 200ms);
    EXPECT_EQ(staging.next(kStart + 1100ms), StagingTask::none);
    EXPECT_EQ(staging.next(kStart + 1200ms), StagingTask::readBack);
}

// Guards against an answer to an earlier task of the same target that ends the present task.
TEST(Staging, TheEndOfAnEarlierTaskDoesNotEndThePresentOne)
{
    Staging staging;
    staging.setTarget(2, false, kStart);
    staging.onEngineStatus({ .version = 1 }, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::fetchManifest);
    const std::uint64_t first = staging.taskNumber();
    staging.onManifestRejected(kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::fetchManifest);
    staging.onManifestFailed(first, kStart);
    EXPECT_EQ(staging.next(kStart + 5s), StagingTask::none);
    staging.onManifest();
    EXPECT_EQ(staging.next(kStart + 5s), StagingTask::checkHeld);
    staging.onHeldChecked(first, HeldPieces::all, kStart + 5s);
    EXPECT_EQ(staging.next(kStart + 5s), StagingTask::none);
}

TEST(SourcePool, ASingleSourceIsRetriedSoonAfterCorruptBytes)
{
    SourcePool singleSource;
    singleSource.reset(1);
    singleSource.onCorrupt(0, kStart);
    EXPECT_FALSE(singleSource.choose(kStart));
    EXPECT_TRUE(singleSource.choose(kStart + 200ms));
    SourcePool twoSources;
    twoSources.reset(2);
    twoSources.onCorrupt(0, kStart);
    EXPECT_EQ(twoSources.choose(kStart + 200ms), 1U);
    EXPECT_EQ(twoSources.choose(kStart + 400ms), 1U);
}

// Runs `Staging` against an engine that restarts, corrupts staged bytes and loses load orders.
// Every load order follows a read-back by 3 s at most. The engine of the test loads only pieces
// that were read back intact after their last change. Once the faults end, the engine serves the
// target version.
TEST(Staging, FuzzedEnginesAreNeverLoadedUnverified)
{
    fuzz([] {
        Staging staging;
        TimePoint now = kStart;
        std::uint64_t loadedVersion = 1;
        std::uint64_t target = 2;
        bool isDamaged = false;
        bool isBusy = false;
        TimePoint verifiedAt;
        bool isVerified = false;
        staging.setRolloutPosition(*rc::gen::inRange(0, 11) / 10.0);
        staging.setTarget(target, true, now);
        const auto step = [&](bool hasFaults) {
            now += hasFaults ? Milliseconds(*rc::gen::inRange(10, 400)) : 100ms;
            if (hasFaults && *rc::gen::inRange(0, 12) == 0)
                loadedVersion = 0;
            if (hasFaults && *rc::gen::inRange(0, 8) == 0) {
                isDamaged = true;
                isVerified = false;
            }
            if (hasFaults && target < 4 && *rc::gen::inRange(0, 20) == 0)
                staging.setTarget(++target, true, now);
            if (hasFaults && *rc::gen::inRange(0, 10) == 0)
                staging.onEngineUnreachable();
            else
                staging.onEngineStatus({ .version = loadedVersion, .isBusy = isBusy }, now);
            isBusy = false;
            switch (staging.next(now)) {
            case StagingTask::none:
                break;
            case StagingTask::fetchManifest:
                if (!hasFaults || *rc::gen::inRange(0, 3) > 0)
                    staging.onManifest();
                else
                    staging.onManifestFailed(staging.taskNumber(), now);
                break;
            case StagingTask::checkHeld:
                staging.onHeldChecked(staging.taskNumber(),
                                      !hasFaults || *rc::gen::inRange(0, 3) > 0
                                              ? HeldPieces::some
                                              : HeldPieces::unknown,
                                      now);
                break;
            case StagingTask::collect:
                isDamaged = false;
                staging.onCollected(now);
                break;
            case StagingTask::readBack:
                isVerified = !isDamaged;
                verifiedAt = now;
                staging.onReadBack(staging.taskNumber(), isVerified, now);
                break;
            case StagingTask::order:
                RC_ASSERT(now - verifiedAt <= 3s);
                if (!hasFaults || *rc::gen::inRange(0, 3) > 0) {
                    loadedVersion = isVerified ? staging.target() : loadedVersion;
                    isBusy = true;
                    staging.onOrdered(staging.taskNumber(), OrderReply::started, now);
                } else {
                    staging.onOrdered(staging.taskNumber(), OrderReply::unknown, now);
                }
                break;
            }
        };
        const int steps = *rc::gen::inRange(0, 60);
        for (int i = 0; i < steps; ++i)
            step(true);
        for (int i = 0; i < 300; ++i)
            step(false);
        RC_ASSERT(loadedVersion == target);
    });
}

TEST(Staging, ATaskThatFailedOnAnUnreachableEngineIsRetriedOnceTheEngineResponds)
{
    Staging staging;
    staging.setTarget(1, false, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::fetchManifest);
    staging.onManifest();
    EXPECT_EQ(staging.next(kStart), StagingTask::checkHeld);
    staging.onEngineUnreachable();
    staging.onHeldChecked(staging.taskNumber(), HeldPieces::unknown, kStart);
    EXPECT_EQ(staging.next(kStart + 10ms), StagingTask::none);
    staging.onEngineStatus({ .version = 0 }, kStart + 10ms);
    EXPECT_EQ(staging.next(kStart + 10ms), StagingTask::checkHeld);
}

TEST(Staging, PiecesVerifiedAtTheStartAreNotReadTwice)
{
    Staging staging;
    staging.setTarget(2, false, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::fetchManifest);
    staging.onManifest();
    staging.onEngineStatus({ .version = 0 }, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::checkHeld);
    staging.onHeldChecked(staging.taskNumber(), HeldPieces::all, kStart);
    EXPECT_EQ(staging.next(kStart), StagingTask::collect);
    staging.onCollected(kStart);
    EXPECT_EQ(staging.next(kStart + 50ms), StagingTask::order);
}

TEST(Staging, PiecesVerifiedLongAgoAreReadAgain)
{
    Staging staging;
    staging.setTarget(2, false, kStart);
    staging.next(kStart);
    staging.onManifest();
    staging.next(kStart);
    staging.onHeldChecked(staging.taskNumber(), HeldPieces::all, kStart);
    staging.next(kStart);
    staging.onCollected(kStart);
    staging.onEngineStatus({ .version = 0 }, kStart + 2s);
    EXPECT_EQ(staging.next(kStart + 2s), StagingTask::readBack);
}
