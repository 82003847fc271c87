#pragma once

#include "admission_queue.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace egret {

/// A refused item, with the reason and the time after which the client may retry.
template <class Item> struct RefusedItem
{
    Item item;
    RefusedRequest refusal;
};

/// Admission queues by route. A route stands for all engines or for the processes of one
/// service. `Item` is the payload of a waiting request. Not thread safe.
template <class Item> class RouteQueues
{
public:
    explicit RouteQueues(AdmissionQueueOptions options = {}) : options(options) {}

    /// Sets the limit on waiting requests per route.
    void setLength(std::uint32_t length)
    {
        if (this->options.length == length)
            return;
        this->options.length = length;
        for (auto &[route, queue] : this->byRoute)
            queue.admission.setLength(length);
    }

    /// Queues an item on a route and returns the refused items, which may include the new
    /// item. `request` describes the item to the queue; its id is assigned here.
    std::vector<RefusedItem<Item>> push(const std::string &route, WaitingRequest request, Item item,
                                        TimePoint now)
    {
        Queue &queue = this->queueOf(route);
        request.id = ++this->lastId;
        queue.items.emplace(request.id, std::move(item));
        return extract(queue, queue.admission.push(request, now));
    }

    /// Calls `offer` for each waiting item of a route in queue order until `offer` returns
    /// `noRoom` or every item has been offered. Accepted items leave the queue. A
    /// `skipped` item, which only some upstreams can serve, does not block the items behind
    /// it.
    template <class Offer> void dispatch(const std::string &route, TimePoint now, Offer &&offer)
    {
        Queue &queue = this->queueOf(route);
        std::vector<WaitingRequest> notAccepted;
        while (const auto next = queue.admission.next(now)) {
            const auto found = queue.items.find(next->id);
            const OfferResult result = offer(found->second);
            if (result == OfferResult::accepted) {
                queue.items.erase(found);
                continue;
            }
            notAccepted.push_back(*next);
            if (result == OfferResult::noRoom)
                break;
        }
        for (auto it = notAccepted.rbegin(); it != notAccepted.rend(); ++it)
            queue.admission.requeue(*it);
    }

    /// Removes and returns all items whose deadline has passed.
    std::vector<RefusedItem<Item>> expire(TimePoint now)
    {
        std::vector<RefusedItem<Item>> refused;
        for (auto &[route, queue] : this->byRoute) {
            for (auto &item : extract(queue, queue.admission.expire(now)))
                refused.push_back(std::move(item));
        }
        return refused;
    }

    /// Removes one item from its queue; false when the item is not queued.
    bool remove(const Item &item)
    {
        for (auto &[route, queue] : this->byRoute) {
            for (const auto &[id, waiting] : queue.items) {
                if (waiting != item)
                    continue;
                queue.admission.remove(id);
                queue.items.erase(id);
                return true;
            }
        }
        return false;
    }

    /// Names of the routes with waiting items.
    std::vector<std::string> busyRoutes() const
    {
        std::vector<std::string> routes;
        for (const auto &[route, queue] : this->byRoute) {
            if (queue.admission.size() > 0)
                routes.push_back(route);
        }
        return routes;
    }

    /// Number of waiting items on all routes.
    std::size_t size() const
    {
        std::size_t total = 0;
        for (const auto &[route, queue] : this->byRoute)
            total += queue.admission.size();
        return total;
    }

    /// Result of offering an item to the upstreams of its route: the item was accepted, no
    /// upstream that can serve this item has room, or no upstream of the route has room.
    enum class OfferResult : std::uint8_t { accepted, skipped, noRoom };

private:
    struct Queue
    {
        AdmissionQueue admission;
        std::map<std::uint64_t, Item> items;
    };

    Queue &queueOf(const std::string &route)
    {
        const auto [found, isNew] = this->byRoute.try_emplace(route);
        if (isNew)
            found->second.admission = AdmissionQueue(this->options);
        return found->second;
    }

    /// Removes the items of refused requests from the queue and returns them.
    static std::vector<RefusedItem<Item>> extract(Queue &queue,
                                                  const std::vector<RefusedRequest> &refusals)
    {
        std::vector<RefusedItem<Item>> refused;
        for (const RefusedRequest &refusal : refusals) {
            const auto found = queue.items.find(refusal.id);
            refused.push_back({ .item = std::move(found->second), .refusal = refusal });
            queue.items.erase(found);
        }
        return refused;
    }

    AdmissionQueueOptions options;
    std::map<std::string, Queue> byRoute;
    std::uint64_t lastId{ 0 };
};

} // namespace egret
