#include "upstream_records.h"

#include <tuple>

namespace egret {

namespace {

/// Fields that callers act on.
auto observableFields(const UpstreamRecord &record)
{
    return std::tuple(record.born, record.service, record.endpoint, record.zone, record.notice,
                      record.slots, record.coldFor > 0ms, record.model, record.version,
                      record.isQuiet);
}

} // namespace

bool UpstreamRecords::apply(const UpstreamRecord &record)
{
    const auto found = this->records.find(record.id);
    if (found != this->records.end() && this->isStale(record, found->second))
        return false;
    if (record.notice != UpstreamNotice::gone && this->retireOlderAtAddress(record))
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
    if (record.born != known.born)
        return record.born < known.born;
    if (known.notice == UpstreamNotice::gone)
        return true;
    return record.notice != UpstreamNotice::gone && record.sequence < known.sequence;
}

/// Marks older incarnations at the record's address as gone; true when a later one has it.
bool UpstreamRecords::retireOlderAtAddress(const UpstreamRecord &record)
{
    for (auto &[id, other] : this->records) {
        if (id == record.id || other.endpoint != record.endpoint
            || other.notice == UpstreamNotice::gone)
            continue;
        if (other.born > record.born)
            return true;
        other.notice = UpstreamNotice::gone;
    }
    return false;
}

bool UpstreamRecords::depart(const std::string &id, std::uint64_t born)
{
    const auto found = this->records.find(id);
    if (found == this->records.end()) {
        this->records.emplace(
                id, UpstreamRecord{ .id = id, .born = born, .notice = UpstreamNotice::gone });
        return true;
    }
    const bool isChanged = found->second.notice != UpstreamNotice::gone;
    found->second.notice = UpstreamNotice::gone;
    return isChanged;
}

bool UpstreamRecords::setQuiet(const std::string &id, bool isQuiet)
{
    const auto found = this->records.find(id);
    if (found == this->records.end() || found->second.isQuiet == isQuiet)
        return false;
    found->second.isQuiet = isQuiet;
    return true;
}

const UpstreamRecord *UpstreamRecords::find(const std::string &id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

} // namespace egret
