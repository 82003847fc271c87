#include "order_gate.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

constexpr TimePoint kStart = TimePoint{} + 100s;

/// A gate whose event loop has turned until `kStart`.
OrderGate runningGate()
{
    OrderGate gate;
    for (Milliseconds before = 2s; before >= 0ms; before -= 50ms)
        gate.onTurn(kStart - before);
    return gate;
}

} // namespace

TEST(OrderGate, AnOrderReadByARunningProcessIsCurrent)
{
    OrderGate gate = runningGate();
    EXPECT_TRUE(gate.isCurrent(kStart + 10ms, false, kStart + 40ms));
    EXPECT_FALSE(gate.isCurrent(kStart + 50ms, true, kStart + 80ms)) << "the caller has gone";
}

// Guards against an old order that a woken process reads before or after its first turn.
TEST(OrderGate, AnOrderReadAfterASleepIsOfUnknownAge)
{
    constexpr TimePoint wakeUp = kStart + 4s;
    OrderGate readFirst = runningGate();
    EXPECT_FALSE(readFirst.isCurrent(wakeUp, false, wakeUp + 30ms));
    OrderGate turnedFirst = runningGate();
    turnedFirst.onTurn(wakeUp);
    EXPECT_FALSE(turnedFirst.isCurrent(wakeUp + 500ms, false, wakeUp + 530ms));
    for (Milliseconds later = 50ms; later <= 2s; later += 50ms)
        turnedFirst.onTurn(wakeUp + later);
    EXPECT_TRUE(turnedFirst.isCurrent(wakeUp + 2s, false, wakeUp + 2030ms));
}

// Guards against an order that was read just before the sleep and would be carried out after it.
TEST(OrderGate, AnOrderHeldThroughASleepIsOfUnknownAge)
{
    OrderGate gate = runningGate();
    EXPECT_FALSE(gate.isCurrent(kStart, false, kStart + 4s));
}
