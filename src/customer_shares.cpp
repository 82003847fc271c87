#include "customer_shares.h"

#include <algorithm>
#include <cmath>

namespace egret {

namespace {

/// A gateway gets about 11 requests a second: the window holds some 30 of them, enough to tell a
/// customer with half of the requests from one with a tenth.
constexpr Milliseconds kRecentWindow = 3s;
/// Much longer than a burst, so that a burst hardly changes the usual share.
constexpr Milliseconds kUsualWindow = 60s;
/// Squares of decaying parts decay twice as fast as the parts.
constexpr Milliseconds kSquaresWindow = kRecentWindow / 2;
constexpr Milliseconds kLearningTime = 1s;
/// A customer without requests for this time is forgotten; its usual share is then below a
/// twentieth of what it was.
constexpr Milliseconds kMaxSilence = 3 * kUsualWindow;
constexpr Milliseconds kDropPeriod = 1s;
/// Bounds the memory if a document names very many customers. Further customers are not counted.
constexpr std::size_t kMaxCustomers = 4096;
/// Weight of requests under full overload in the usual shares. A burst of a few seconds would
/// otherwise become usual at a gateway that knows only some ten seconds before it; with no weight
/// at all, a customer that grows for good would stay in excess.
constexpr double kOverloadLearning = 0.1;
/// A recent share up to this multiple of the usual share is normal variation.
constexpr double kNormalGrowth = 1.5;
/// Standard deviations of the recent share, which few requests make up, that count as normal.
constexpr double kNormalDeviations = 2;

/// False for an engine time that would spoil the sums.
bool isValid(FloatMilliseconds engineTime)
{
    return std::isfinite(engineTime.count()) && engineTime.count() >= 0;
}

} // namespace

void DecayingSum::add(double amount, Milliseconds window, TimePoint now)
{
    this->sum = this->at(window, now) + amount;
    this->updatedAt = now;
}

double DecayingSum::at(Milliseconds window, TimePoint now) const
{
    const double age = FloatMilliseconds(now - this->updatedAt) / FloatMilliseconds(window);
    return this->sum * std::exp(-std::max(0.0, age));
}

void CustomerShares::onRequest(const std::string &customer, FloatMilliseconds engineTime,
                               TimePoint now)
{
    this->dropVanished(now);
    if (!isValid(engineTime))
        return;
    if (this->customers.size() >= kMaxCustomers && !this->customers.contains(customer))
        return;
    if (!this->firstRequestAt)
        this->firstRequestAt = now;
    const double amount = engineTime.count();
    Customer &counted = this->customers[customer];
    counted.recent.add(amount, kRecentWindow, now);
    std::shift_right(counted.requestsAt.begin(), counted.requestsAt.end(), 1);
    counted.requestsAt.front() = now;
    if (amount >= counted.largest.at(kRecentWindow, now)) {
        counted.largest = {};
        counted.largest.add(amount, kRecentWindow, now);
    }
    this->recentTotal.add(amount, kRecentWindow, now);
    this->recentSquares.add(amount * amount, kSquaresWindow, now);
}

void CustomerShares::onAdmitted(const std::string &customer, FloatMilliseconds engineTime,
                                double overload, TimePoint now)
{
    const auto found = this->customers.find(customer);
    if (found == this->customers.end() || !isValid(engineTime))
        return;
    found->second.admitted.add(engineTime.count(), kRecentWindow, now);
    this->admittedTotal.add(engineTime.count(), kRecentWindow, now);
    const double usualAmount = engineTime.count() * (1 - overload * (1 - kOverloadLearning));
    found->second.usual.add(usualAmount, kUsualWindow, now);
    this->usualTotal.add(usualAmount, kUsualWindow, now);
}

CustomerExcess CustomerShares::excess(const std::string &customer, TimePoint now) const
{
    const auto found = this->customers.find(customer);
    if (found == this->customers.end() || this->customers.size() < 2
        || now - *this->firstRequestAt < kLearningTime)
        return {};
    const double recentTotal = this->recentTotal.at(kRecentWindow, now);
    const double usualTotal = this->usualTotal.at(kUsualWindow, now);
    const double squares = this->recentSquares.at(kSquaresWindow, now);
    if (recentTotal <= 0 || usualTotal <= 0 || squares <= 0)
        return {};
    const double recentShare = found->second.recent.at(kRecentWindow, now) / recentTotal;
    // An equal share is never an excess; it also stands for the usual share of a new customer.
    const double equalShare = 1.0 / static_cast<double>(this->customers.size());
    const double usualShare =
            std::clamp(found->second.usual.at(kUsualWindow, now) / usualTotal, equalShare, 1.0);
    // Number of requests of equal size whose share would vary as much.
    const double sampleCount = recentTotal * recentTotal / squares;
    const double deviation = std::sqrt(usualShare * (1 - usualShare) / sampleCount);
    const double normalShare = usualShare * kNormalGrowth + kNormalDeviations * deviation;
    if (recentShare <= normalShare
        || restsOnOneRequest(found->second, recentTotal, normalShare, now))
        return {};
    // Rises from 0 at the normal share, so that gateways don't begin all at once, to the whole
    // excess at twice the normal share.
    const double certainty = std::min(1.0, recentShare / normalShare - 1);
    const double asked = 1 - usualShare / recentShare;
    const double admittedTotal = this->admittedTotal.at(kRecentWindow, now);
    const double admittedShare =
            admittedTotal > 0 ? found->second.admitted.at(kRecentWindow, now) / admittedTotal : 0;
    const double beyondUsual = std::clamp(admittedShare / usualShare - 1, 0.0, 1.0);
    return { .share = certainty * (asked + (1 - asked) * beyondUsual),
             .drainTime = kRecentWindow * std::log(recentShare / normalShare) };
}

/// Whether a customer's share would be normal without its largest request, or rests on fewer than
/// three requests. Refusing one large request, which its clients repeat, doesn't relieve anyone.
bool CustomerShares::restsOnOneRequest(const Customer &customer, double recentTotal,
                                       double normalShare, TimePoint now)
{
    const std::optional<TimePoint> &third = customer.requestsAt.back();
    if (!third || now - *third > kRecentWindow)
        return true;
    const double largest = customer.largest.at(kRecentWindow, now);
    const double others = customer.recent.at(kRecentWindow, now) - largest;
    return others <= normalShare * (recentTotal - largest);
}

void CustomerShares::dropVanished(TimePoint now)
{
    if (now < this->nextDropAt)
        return;
    this->nextDropAt = now + kDropPeriod;
    std::erase_if(this->customers, [now](const auto &each) {
        return now - *each.second.requestsAt.front() > kMaxSilence;
    });
}

} // namespace egret
