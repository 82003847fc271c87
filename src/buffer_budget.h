#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>

namespace egret {

struct BufferBudgetOptions
{
    std::size_t maxBytesEach{ 4U << 20U };   ///< limit on one buffer
    std::size_t maxBytesTotal{ 32U << 20U }; ///< limit on all buffers together
};

/// Limits the memory of buffers whose final size isn't known. Keys identify the buffers.
/// Deterministic; not thread safe.
template <typename Key> class BufferBudget
{
public:
    explicit BufferBudget(BufferBudgetOptions options = {}) : options(options) {}

    /// Sets the size of a buffer; 0 removes the buffer. Returns the buffer that must be dropped:
    /// this one if it is too large, otherwise the largest of all if they are too large together.
    /// Precondition: the caller removes a returned buffer before the next call.
    std::optional<Key> set(const Key &key, std::size_t bytes)
    {
        std::size_t &known = this->bytesByKey[key];
        this->bytesTotal += bytes - known;
        known = bytes;
        if (bytes == 0) {
            this->bytesByKey.erase(key);
            return std::nullopt;
        }
        if (bytes > this->options.maxBytesEach)
            return key;
        if (this->bytesTotal <= this->options.maxBytesTotal)
            return std::nullopt;
        return std::ranges::max_element(this->bytesByKey, {},
                                        [](const auto &each) { return each.second; })
                ->first;
    }

    /// Size of all buffers in bytes.
    std::size_t total() const { return this->bytesTotal; }

private:
    BufferBudgetOptions options;
    std::map<Key, std::size_t> bytesByKey;
    std::size_t bytesTotal{ 0 };
};

} // namespace egret
