#include "core/bounded_document.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    // Throws if a document has more values or levels than allowed.
    void checkBounds(std::size_t depth, std::size_t values, const DocumentBounds& bounds)
    {
        if (depth > bounds.depth)
            throw std::invalid_argument("document is nested too deeply");
        if (values > bounds.values)
            throw std::invalid_argument("document has too many values");
    }

    [[noreturn]] void rejectCbor() { throw std::invalid_argument("bytes are no CBOR of an instance"); }

    // Walks through the bytes of CBOR items without recursion.
    class CborScan {
    public:
        CborScan(std::string_view bytes, DocumentBounds bounds)
            : m_bytes(bytes)
            , m_bounds { std::min(bounds.depth, maxDocumentDepth), bounds.values }
        {
        }

        bool isAtEnd() const { return m_position == m_bytes.size(); }

        void readItem()
        {
            std::size_t values = 0;
            do {
                checkBounds(m_depth, ++values, m_bounds);
                readValue();
                while (m_depth > 0 && m_missing[m_depth - 1] == 0)
                    --m_depth;
            } while (m_depth > 0);
        }

    private:
        enum Major { PositiveInteger,
            NegativeInteger,
            Bytes,
            Text,
            Array,
            Map,
            Tag,
            Simple };

        std::size_t rest() const { return m_bytes.size() - m_position; }

        void skip(std::uint64_t count)
        {
            if (count > rest())
                rejectCbor();
            m_position += static_cast<std::size_t>(count);
        }

        // The number that follows the first byte of a value, or is part of it.
        std::uint64_t readArgument(unsigned info)
        {
            constexpr unsigned firstWithBytes = 24, lastWithBytes = 27;
            if (info < firstWithBytes)
                return info;
            if (info > lastWithBytes)
                rejectCbor();
            auto start = m_position;
            skip(std::uint64_t { 1 } << (info - firstWithBytes));
            std::uint64_t value = 0;
            for (; start < m_position; ++start)
                value = value << 8 | static_cast<unsigned char>(m_bytes[start]);
            return value;
        }

        // Each of the values takes a byte at least.
        void enter(std::uint64_t values)
        {
            if (values > rest())
                rejectCbor();
            checkBounds(m_depth + 1, 0, m_bounds);
            m_missing[m_depth++] = values;
        }

        void readValue()
        {
            if (rest() == 0)
                rejectCbor();
            if (m_depth > 0)
                --m_missing[m_depth - 1];
            auto first = static_cast<unsigned char>(m_bytes[m_position++]);
            auto argument = readArgument(first & 0x1f);
            switch (static_cast<Major>(first >> 5)) {
            case Bytes:
            case Text:
                return skip(argument);
            case Array:
                return enter(argument);
            case Map:
                // A key and a value each.
                return enter(argument > rest() / 2 ? std::numeric_limits<std::uint64_t>::max() : 2 * argument);
            case Tag:
                rejectCbor();
            case PositiveInteger:
            case NegativeInteger:
            case Simple:
                return;
            }
        }

        std::string_view m_bytes;
        DocumentBounds m_bounds;
        std::size_t m_position = 0;
        std::size_t m_depth = 0;
        // Of each array and map around the position, the values that follow.
        std::array<std::uint64_t, maxDocumentDepth> m_missing {};
    };

    template <typename Value, typename Read>
    Value readField(const Json& object, const char* name, const std::optional<Value>& ifAbsent, Read read)
    {
        auto it = object.find(name);
        if (it == object.end() && ifAbsent)
            return *ifAbsent;
        try {
            return read(it == object.end() ? object.at(name) : *it);
        } catch (const std::exception& e) {
            throw std::invalid_argument(absl::StrCat("field '", name, "': ", e.what()));
        }
    }

}

std::size_t endOfString(std::string_view text, std::size_t quote)
{
    auto n = text.find_first_of("\"\\", quote + 1);
    while (n != std::string_view::npos && text[n] == '\\')
        n = text.find_first_of("\"\\", n + 2);
    return n;
}

void checkJson(std::string_view text, DocumentBounds bounds)
{
    std::size_t depth = 0, values = 1;
    for (std::size_t n = 0; n < text.size(); ++n) {
        switch (text[n]) {
        case '"':
            n = endOfString(text, n);
            if (n == std::string_view::npos)
                return;
            break;
        case '[':
        case '{':
            checkBounds(++depth, ++values, bounds);
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        case ',':
            checkBounds(depth, ++values, bounds);
            break;
        }
    }
}

void checkCborSequence(std::string_view bytes, DocumentBounds bounds)
{
    for (CborScan scan(bytes, bounds); !scan.isAtEnd();)
        scan.readItem();
}

Json parseJson(const std::string& text)
{
    checkJson(text);
    return Json::parse(text);
}

// The parser refuses bytes after the first item.
Json parseCbor(const std::string& bytes)
{
    checkCborSequence(bytes);
    return Json::from_cbor(bytes);
}

std::int64_t clampedIntegerFrom(const Json& json, IntegerRange range)
{
    if (json.is_number_unsigned()) {
        auto value = json.get<std::uint64_t>();
        if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
            return range.max;
        return std::clamp(static_cast<std::int64_t>(value), range.min, range.max);
    }
    if (json.is_number_integer())
        return std::clamp(json.get<std::int64_t>(), range.min, range.max);
    // JSON does not distinguish 64 and 64.0.
    auto value = json.is_number_float() ? json.get<double>() : std::nan("");
    if (!(std::trunc(value) == value))
        throw std::invalid_argument("not a whole number");
    if (value <= static_cast<double>(range.min))
        return range.min;
    // The double next to the highest integer may be above it.
    return value >= static_cast<double>(range.max) ? range.max : static_cast<std::int64_t>(value);
}

std::int64_t integerFrom(const Json& json, IntegerRange range)
{
    constexpr IntegerRange all { std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max() };
    auto value = clampedIntegerFrom(json, all);
    bool isClamped = value == all.min || value == all.max;
    if (isClamped || value < range.min || value > range.max)
        throw std::invalid_argument(absl::StrCat("not from ", range.min, " to ", range.max));
    return value;
}

std::uint64_t unsignedFrom(const Json& json)
{
    bool isUnsigned = json.is_number_unsigned() || (json.is_number_integer() && json.get<std::int64_t>() >= 0);
    if (!isUnsigned)
        throw std::invalid_argument("not an unsigned number");
    return json.get<std::uint64_t>();
}

double clampedNumberFrom(const Json& json, NumberRange range)
{
    auto value = json.is_number() ? json.get<double>() : std::nan("");
    if (std::isnan(value))
        throw std::invalid_argument("not a number");
    return std::clamp(value, range.min, range.max);
}

double numberFrom(const Json& json, NumberRange range)
{
    auto value = clampedNumberFrom(json, range);
    if (value != json.get<double>())
        throw std::invalid_argument(absl::StrCat("not from ", range.min, " to ", range.max));
    return value;
}

Milliseconds timeFrom(const Json& json)
{
    return Milliseconds(static_cast<std::int64_t>(numberFrom(json, { 0, static_cast<double>(maxStatedTime.count()) })));
}

std::int64_t countFrom(const Json& json) { return clampedIntegerFrom(json, {}); }

Milliseconds ageFrom(const Json& json, Milliseconds min) { return Milliseconds(clampedIntegerFrom(json, { min.count(), maxStatedTime.count() })); }

TimePoint timePointFrom(const Json& json) { return TimePoint { Microseconds(clampedIntegerFrom(json, { 0, maxStatedMicroseconds })) }; }

const Json& arrayField(const Json& object, const char* name)
{
    const auto& field = object.at(name);
    if (!field.is_array())
        throw std::invalid_argument(absl::StrCat("field '", name, "' is no array"));
    return field;
}

std::int64_t integerField(const Json& object, const char* name, IntegerRange range, std::optional<std::int64_t> ifAbsent)
{
    return readField(object, name, ifAbsent, [range](const Json& json) { return integerFrom(json, range); });
}

double numberField(const Json& object, const char* name, NumberRange range, std::optional<double> ifAbsent)
{
    return readField(object, name, ifAbsent, [range](const Json& json) { return numberFrom(json, range); });
}

Milliseconds timeField(const Json& object, const char* name, std::optional<Milliseconds> ifAbsent)
{
    return readField(object, name, ifAbsent, timeFrom);
}

}
