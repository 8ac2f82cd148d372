// Compact binary encoding of messages between gateways: variable-length integers and a table of strings, each sent once.

#pragma once

#include "framework/result.h"

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::peers
{

class CompactWriter
{
public:
    void number(uint64_t value)
    {
        while (value >= VARINT_MORE) {
            payload_ += static_cast<char>((value & (VARINT_MORE - 1)) | VARINT_MORE);
            value >>= VARINT_BITS;
        }
        payload_ += static_cast<char>(value);
    }

    /// @p value is at least -1.
    void signedNumber(int64_t value)
    {
        number(static_cast<uint64_t>(value + 1));
    }

    /// Short if @p value is near @p base.
    void relativeNumber(int64_t value, int64_t base)
    {
        const uint64_t difference = static_cast<uint64_t>(value) - static_cast<uint64_t>(base);
        const uint64_t sign = (difference >> 63U) != 0 ? ~uint64_t{0} : 0;
        number((difference << 1U) ^ sign);
    }

    void text(const std::string &value)
    {
        const auto [entry, added] = indexOf_.try_emplace(value, texts_.size());
        if (added) {
            texts_.push_back(value);
        }
        number(entry->second);
    }

    /// Returns the message: @p magic, the string table, the payload.
    std::string finish(std::string_view magic)
    {
        const std::string rows = std::move(payload_);
        payload_.clear();
        number(texts_.size());
        for (const std::string &value : texts_) {
            number(value.size());
            payload_ += value;
        }
        return std::string(magic) + payload_ + rows;
    }

private:
    static constexpr unsigned VARINT_BITS = 7;
    static constexpr unsigned VARINT_MORE = 0x80;

    std::string payload_;
    std::vector<std::string> texts_;
    std::map<std::string, size_t> indexOf_;
};

class CompactReader
{
public:
    explicit CompactReader(std::string_view bytes) : bytes_(bytes)
    { }

    framework::Result<uint64_t> number(uint64_t limit)
    {
        uint64_t value = 0;
        for (unsigned shift = 0; shift <= MAX_SHIFT; shift += VARINT_BITS) {
            if (bytes_.empty()) {
                return framework::fail(framework::ResultCode::BadMessage, "message truncated");
            }
            const auto byte = static_cast<unsigned char>(bytes_.front());
            bytes_.remove_prefix(1);
            value |= static_cast<uint64_t>(byte & (VARINT_MORE - 1)) << shift;
            if (byte < VARINT_MORE) {
                return value <= limit ? framework::Result<uint64_t>(value)
                                      : framework::fail(framework::ResultCode::BadMessage, "integer out of range in a message");
            }
        }
        return framework::fail(framework::ResultCode::BadMessage, "integer overflow in a message");
    }

    framework::Result<int64_t> signedNumber()
    {
        BOOST_LEAF_AUTO(value, number(std::numeric_limits<int64_t>::max()));
        return static_cast<int64_t>(value) - 1;
    }

    framework::Result<int64_t> relativeNumber(int64_t base)
    {
        BOOST_LEAF_AUTO(coded, number(std::numeric_limits<uint64_t>::max()));
        const uint64_t sign = (coded & 1U) != 0 ? ~uint64_t{0} : 0;
        return static_cast<int64_t>(static_cast<uint64_t>(base) + ((coded >> 1U) ^ sign));
    }

    framework::Result<void> readTexts()
    {
        BOOST_LEAF_AUTO(count, number(MAX_TEXTS));
        for (uint64_t i = 0; i < count; ++i) {
            BOOST_LEAF_AUTO(size, number(MAX_TEXT_BYTES));
            if (size > bytes_.size()) {
                return framework::fail(framework::ResultCode::BadMessage, "message truncated");
            }
            texts_.emplace_back(bytes_.substr(0, size));
            bytes_.remove_prefix(size);
        }
        return {};
    }

    framework::Result<std::string> text()
    {
        BOOST_LEAF_AUTO(index, number(MAX_TEXTS));
        if (index >= texts_.size()) {
            return framework::fail(framework::ResultCode::BadMessage, "unknown text index in a message");
        }
        return texts_[index];
    }

    bool atEnd() const
    {
        return bytes_.empty();
    }

private:
    static constexpr uint64_t MAX_TEXTS = 1'024;
    static constexpr uint64_t MAX_TEXT_BYTES = 256;
    static constexpr unsigned VARINT_BITS = 7;
    static constexpr unsigned VARINT_MORE = 0x80;
    static constexpr unsigned MAX_SHIFT = 63;

    std::string_view bytes_;
    std::vector<std::string> texts_;
};

} // namespace daisymount::peers
