#pragma once

#include "customer_shares.h"
#include "types.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace egret {

/// Options of `OverloadControl`.
struct OverloadOptions
{
    bool isEnabled{ true };
    /// Occupancy from which requests of the lowest priority are refused. At least 0.75: below,
    /// engines have free slots for everyone.
    double start{ 0.75 };
    /// Range of occupancy over which the refused share of a priority rises from 0 to 1. Gateways
    /// learn the effect of their refusals 100 to 300 ms later; with 0.25 the load oscillated.
    double width{ 0.4 };
    /// Share of the requests of each priority that is never refused by priority. Of a customer in
    /// excess, half of this share is never refused for the excess.
    double floor{ 0.25 };
};

/// Text of the first invalid option; empty when all are valid. Thread safe.
std::string overloadOptionsError(const OverloadOptions &options);

/// Load of all usable engines of a service, as this gateway knows it.
struct ServiceLoad
{
    /// Requests at the engines (running, queued and in transit) divided by their slots; empty
    /// when no engine has reported its load recently.
    std::optional<double> occupancy;
    /// Predicted time to the first token at the engine that returns it soonest; empty when no
    /// engine can be used.
    std::optional<FloatMilliseconds> firstToken;
    /// Names the engines that are counted: those of a service in the allowed regions.
    std::string scope;
};

/// A request at its arrival.
struct AdmissionRequest
{
    std::string service;
    std::string customer;              ///< name of the customer, empty for none
    std::uint32_t priority{ 0 };       ///< effective priority; 0 is the highest
    FloatMilliseconds engineTime{ 0 }; ///< time of a full engine that the request takes
    /// The client has spent time on an earlier attempt.
    bool isReturning{ false };
};

/// Decision on a request at its arrival.
struct AdmissionDecision
{
    bool isAdmitted{ true };
    Milliseconds retryAfter{ 0 }; ///< when the request is refused
    const char *reason{ "" };     ///< machine-readable reason of a refusal
};

inline constexpr const char *kOverloadPriority = "overload-priority";
inline constexpr const char *kOverloadCustomer = "overload-customer";

/// A priority of the requests to a service.
struct PriorityObjective
{
    std::uint32_t priority{ 0 }; ///< 0 is the highest
    Milliseconds objective{ 0 }; ///< smallest objective of the routes with this priority

    bool operator==(const PriorityObjective &) const = default;
};

/// Refusals of one priority of a service have begun or ended.
struct SheddingChange
{
    std::string service;
    std::uint32_t priority{ 0 };
    bool isShedding{ false };
    double occupancy{ 0 };       ///< smoothed occupancy at the last decision
    std::uint64_t requests{ 0 }; ///< requests since the refusals began
    std::uint64_t refusals{ 0 }; ///< refused requests since the refusals began
};

/// State of one priority of a service, for metrics.
struct PriorityStatus
{
    std::uint32_t priority{ 0 };
    double refusedShare{ 0 }; ///< share of the requests of the last seconds that was refused
};

/// State of a service, for metrics.
struct ServiceStatus
{
    std::string service;
    double occupancy{ 0 }; ///< smoothed occupancy at the last decision, highest of all scopes
    std::vector<PriorityStatus> priorities;
};

/// Decides at a gateway which requests to a service are refused while its engines are nearly full.
/// Priorities of a service whose requests have arrived in the last seconds are ranked; the requests
/// of a lower rank are refused at random, with a probability that rises with the occupancy of the
/// engines, and earlier for lower ranks. A customer that asks for much more than usual is refused
/// in proportion to the excess. Requests of the highest rank are refused for the customer's excess
/// only; the limit on the predicted first token, which `UpstreamSelector::choose` applies, is what
/// else holds for them. All gateways have the same delayed load notices, so the share refused never
/// jumps; the seeded draws of different gateways are independent. Services without priorities are
/// not controlled. Deterministic given the seed; not thread safe.
class OverloadControl
{
public:
    OverloadControl(const OverloadOptions &options, std::uint64_t seed);

    /// Sets the distinct priorities of the requests to a service, in any order; takes effect at
    /// once. An empty list removes the service.
    void setPriorities(const std::string &service, std::vector<PriorityObjective> priorities);

    /// Decides on a request at its arrival.
    AdmissionDecision decide(const AdmissionRequest &request, const ServiceLoad &load,
                             TimePoint now);

    /// Returns whether the effective occupancy at the last decision on a request to the service was
    /// at least 0.75. False when the occupancy is unknown.
    bool isNearlyFull(const std::string &service) const;

    /// Limit on the predicted time to the first token that the higher ranks of the service set: the
    /// smallest of their objectives, so that a longer objective gives no precedence. Objectives of
    /// 0 don't count. Empty for the highest rank, which has only its own objective, for services
    /// that are not controlled, and while `isNearlyFull` is false.
    std::optional<Milliseconds> firstTokenLimit(const std::string &service,
                                                std::uint32_t priority) const;

    /// Returns a time for Retry-After at random around `time`, within [100 ms, 2 s], so that
    /// clients that were refused together don't return together.
    Milliseconds withJitter(FloatMilliseconds time);

    /// Returns the changes since the last call. Call it at least once a second.
    std::vector<SheddingChange> takeChanges(TimePoint now);

    /// State of all controlled services.
    std::vector<ServiceStatus> status(TimePoint now) const;

private:
    /// Smoothed occupancy of the engines of one scope.
    struct Occupancy
    {
        double smoothed{ 0 };
        /// `smoothed`, but not above the last measured value where that is low.
        double effective{ 0 };
        double fallPerSecond{ 0 }; ///< smoothed rate at which the occupancy falls
        TimePoint updatedAt;
    };
    struct Refusals
    {
        DecayingSum recentRequests;
        DecayingSum recentRefusals;
        TimePoint lastRequestAt;
        bool isShedding{ false };
        TimePoint lastRefusalAt;
        std::uint64_t requests{ 0 }; ///< since the refusals began
        std::uint64_t refusals{ 0 };
    };
    struct Service
    {
        std::vector<PriorityObjective> ranks; ///< highest priority first
        CustomerShares customers;
        std::map<std::string, Occupancy> occupancies; ///< by scope
        std::map<std::uint32_t, Refusals> refusals;   ///< by priority
        bool isNearlyFull{ false };                   ///< at the last decision
        TimePoint decidedAt;                          ///< time of the last decision
    };

    /// Place of a priority among those whose requests arrive.
    struct Rank
    {
        std::size_t place{ 0 };                      ///< 0 is the highest
        std::size_t lowest{ 0 };                     ///< place of the lowest
        std::optional<Milliseconds> higherObjective; ///< smallest of the higher places
    };

    static Rank rankOf(const Service &service, std::uint32_t priority, TimePoint now);
    static double highestOccupancy(const Service &service);
    const Occupancy *observe(Service &service, const ServiceLoad &load, TimePoint now) const;
    double rangeStart(const Rank &rank) const;
    double shareAbove(double start, double widths, double occupancy) const;
    static FloatMilliseconds drainTime(const Occupancy &occupancy, double rangeStart);
    AdmissionDecision refusal(const char *reason, FloatMilliseconds drainTime);
    void count(const std::string &name, Service &service, std::uint32_t priority,
               const AdmissionDecision &decision, TimePoint now);

    OverloadOptions options;
    std::mt19937_64 random;
    std::map<std::string, Service> services;
    std::vector<SheddingChange> changes;
};

} // namespace egret
