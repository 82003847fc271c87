#pragma once

#include "types.h"

#include <array>
#include <map>
#include <optional>
#include <string>

namespace egret {

/// A sum whose parts count exponentially less with their age.
class DecayingSum
{
public:
    /// Adds `amount` at `now`. `window`: age at which a part counts 1/e. Precondition: `now` does
    /// not decrease.
    void add(double amount, Milliseconds window, TimePoint now);

    /// The sum at `now`.
    double at(Milliseconds window, TimePoint now) const;

private:
    double sum{ 0 };
    TimePoint updatedAt;
};

/// How much more than usual a customer asks for.
struct CustomerExcess
{
    double share{ 0 }; ///< share of the customer's requests to refuse, from 0 to 1
    /// Time after which the customer's share is normal again if it asks for nothing.
    FloatMilliseconds drainTime{ 0 };
};

/// Finds customers of one service that ask for much more engine time than usual. Compares each
/// customer's share of the engine time that was asked of this gateway in the last seconds with the
/// customer's share of what was admitted over the last minute. A customer that is always large is
/// not in excess. Addresses the load of one customer that suddenly sends a large part of all
/// requests, or whose clients repeat refused requests at once. Deterministic; not thread safe.
class CustomerShares
{
public:
    /// Counts a request of a customer, whether or not it is admitted. A negative or infinite
    /// `engineTime` is ignored.
    void onRequest(const std::string &customer, FloatMilliseconds engineTime, TimePoint now);

    /// Counts a request of a customer that is admitted, besides `onRequest`. `overload`, from 0 to
    /// 1: the more, the less the request changes the usual shares.
    void onAdmitted(const std::string &customer, FloatMilliseconds engineTime, double overload,
                    TimePoint now);

    /// The excess of a customer: the share of its requests to refuse so that it gets its usual
    /// share. That share rises to 1 while the customer gets more than that, because clients repeat
    /// what was refused: a fixed share would admit most of them in the end. 0 while the shares are
    /// not known yet (within a second after the first request), while there is only one
    /// customer, and where the excess rests on one request: when the customer sent fewer than three
    /// requests in the last seconds, or is not in excess without the largest one.
    CustomerExcess excess(const std::string &customer, TimePoint now) const;

    /// Number of customers that are remembered.
    std::size_t size() const { return this->customers.size(); }

private:
    struct Customer
    {
        DecayingSum recent;   ///< engine time in milliseconds, as is `usual`
        DecayingSum usual;    ///< admitted engine time
        DecayingSum admitted; ///< the part of `recent` that was admitted
        DecayingSum largest;  ///< the largest of the parts of `recent`
        /// Times of the last requests, the last one first.
        std::array<std::optional<TimePoint>, 3> requestsAt;
    };

    static bool restsOnOneRequest(const Customer &customer, double recentTotal, double normalShare,
                                  TimePoint now);
    void dropVanished(TimePoint now);

    std::map<std::string, Customer> customers;
    DecayingSum recentTotal;
    DecayingSum usualTotal;
    DecayingSum admittedTotal;
    DecayingSum recentSquares; ///< sum of the squares of the parts of `recentTotal`
    std::optional<TimePoint> firstRequestAt;
    TimePoint nextDropAt;
};

} // namespace egret
