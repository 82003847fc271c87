#include "serving_plan.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace egret {

namespace {

std::string normalizedHost(std::string host)
{
    host = host.substr(0, host.find(':'));
    std::ranges::transform(host, host.begin(), [](unsigned char c) { return std::tolower(c); });
    return host;
}

bool isValidPrefix(const std::string &prefix)
{
    return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

std::string routeError(const PlanRoute &route, const std::set<std::string> &services)
{
    const std::string name = "route " + route.name + ": ";
    if (!isValidPrefix(route.prefix))
        return name + "the prefix does not begin and end with a slash";
    if (route.timeout <= 0ms)
        return name + "the timeout is zero";
    std::uint64_t targetWeightSum = 0;
    for (const PlanTarget &target : route.targets) {
        if (!services.contains(target.service))
            return name + "unknown service " + target.service;
        targetWeightSum += target.weight;
    }
    return targetWeightSum == 0 ? name + "the weights add up to zero" : std::string();
}

} // namespace

std::string planError(const ServingPlan &plan)
{
    if (plan.number == 0)
        return "the number is zero";
    std::set<std::string> services;
    for (const PlanService &service : plan.services)
        services.insert(service.name);
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const PlanRoute &route : plan.routes) {
        std::string error = routeError(route, services);
        if (!error.empty())
            return error;
        if (!hostsAndPrefixes.emplace(normalizedHost(route.host), route.prefix).second)
            return "route " + route.name + ": another has the same host and prefix";
    }
    std::map<std::string, std::string> ownersByKey;
    for (const PlanCustomer &customer : plan.customers) {
        for (const std::string &key : customer.keys) {
            const auto [owner, isNew] = ownersByKey.emplace(key, customer.name);
            if (!isNew && owner->second != customer.name)
                return "customers " + owner->second + " and " + customer.name + " share a key";
        }
    }
    return {};
}

PlanIndex::PlanIndex(ServingPlan plan) : servingPlan(std::move(plan))
{
    for (const PlanRoute &route : this->servingPlan.routes)
        this->routesByHost[normalizedHost(route.host)].push_back(&route);
    for (auto &[host, routes] : this->routesByHost)
        std::ranges::stable_sort(routes, std::greater{},
                                 [](const PlanRoute *route) { return route->prefix.size(); });
    for (const PlanCustomer &customer : this->servingPlan.customers) {
        for (const std::string &key : customer.keys)
            this->customersByKey.emplace(key, &customer);
    }
    for (const PlanService &service : this->servingPlan.services)
        this->servicesByName.emplace(service.name, &service);
    for (const PlanRoute &route : this->servingPlan.routes) {
        if (route.maxPause <= Milliseconds(0))
            continue;
        for (const PlanTarget &target : route.targets) {
            Milliseconds &limit =
                    this->pauseLimits.try_emplace(target.service, route.maxPause).first->second;
            limit = std::min(limit, route.maxPause);
        }
    }
}

const PlanRoute *PlanIndex::route(const std::string &host, const std::string &path) const
{
    const auto found = this->routesByHost.find(normalizedHost(host));
    if (found == this->routesByHost.end())
        return nullptr;
    const auto match = std::ranges::find_if(found->second, [&path](const PlanRoute *route) {
        return path.starts_with(route->prefix);
    });
    return match == found->second.end() ? nullptr : *match;
}

const PlanCustomer *PlanIndex::customer(const std::string &key) const
{
    const auto found = this->customersByKey.find(key);
    return found == this->customersByKey.end() ? nullptr : found->second;
}

const PlanService *PlanIndex::service(const std::string &name) const
{
    const auto found = this->servicesByName.find(name);
    return found == this->servicesByName.end() ? nullptr : found->second;
}

Milliseconds PlanIndex::pauseLimit(const std::string &name) const
{
    const auto found = this->pauseLimits.find(name);
    return found == this->pauseLimits.end() ? Milliseconds(0) : found->second;
}

} // namespace egret
