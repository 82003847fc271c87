#include "upstream_records.h"

#include <tuple>

namespace egret {

namespace {

/// Fields of a record that callers act on. Other fields, such as the sequence number, change with
/// each announcement.
auto observableFields(const UpstreamRecord &record)
{
    return std::tuple(record.startedAtMs, record.service, record.endpoint, record.zone,
                      record.notice, record.slots, record.coldFor > 0ms, record.model,
                      record.version, record.isSilent);
}

} // namespace

bool UpstreamRecords::apply(const UpstreamRecord &record)
{
    const auto found = this->records.find(record.id);
    if (found != this->records.end() && this->isStale(record, found->second))
        return false;
    if (record.notice != AnnouncedState::gone && this->resolveEndpointConflict(record))
        return false;
    if (found == this->records.end()) {
        this->records.emplace(record.id, record);
        return true;
    }
    const bool isChanged = observableFields(found->second) != observableFields(record);
    found->second = record;
    return isChanged;
}

bool UpstreamRecords::isStale(const UpstreamRecord &record, const UpstreamRecord &known) const
{
    if (record.startedAtMs != known.startedAtMs)
        return record.startedAtMs < known.startedAtMs;
    if (known.notice == AnnouncedState::gone)
        return true;
    return record.notice != AnnouncedState::gone && record.sequence < known.sequence;
}

/// Resolves conflicts between `record` and upstreams with other IDs at the same endpoint: the
/// upstream that started last keeps the endpoint. Marks upstreams that started no later than
/// `record` as departed. True if an upstream that started later has the endpoint; `record` must
/// then be ignored.
bool UpstreamRecords::resolveEndpointConflict(const UpstreamRecord &record)
{
    for (auto &[id, other] : this->records) {
        if (id == record.id || other.endpoint != record.endpoint
            || other.notice == AnnouncedState::gone)
            continue;
        if (other.startedAtMs > record.startedAtMs)
            return true;
        other.notice = AnnouncedState::gone;
    }
    return false;
}

bool UpstreamRecords::markDeparted(const std::string &id, std::uint64_t startedAtMs)
{
    const auto found = this->records.find(id);
    if (found == this->records.end()) {
        this->records.emplace(id, UpstreamRecord{ .id = id,
                                                  .startedAtMs = startedAtMs,
                                                  .notice = AnnouncedState::gone });
        return true;
    }
    if (found->second.startedAtMs > startedAtMs)
        return false;
    const bool isChanged = found->second.notice != AnnouncedState::gone;
    found->second.notice = AnnouncedState::gone;
    return isChanged;
}

bool UpstreamRecords::setSilent(const std::string &id, bool isSilent)
{
    const auto found = this->records.find(id);
    if (found == this->records.end() || found->second.isSilent == isSilent)
        return false;
    found->second.isSilent = isSilent;
    return true;
}

bool UpstreamRecords::isStored(const UpstreamRecord &record) const
{
    const UpstreamRecord *stored = this->find(record.id);
    return stored != nullptr && stored->startedAtMs == record.startedAtMs
           && stored->sequence == record.sequence && stored->notice == record.notice;
}

const UpstreamRecord *UpstreamRecords::find(const std::string &id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

} // namespace egret
