#include "core/bounded_document.h"

#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

namespace skylarkhitch {

namespace {

    using Json = nlohmann::json;

    // Throws if a document has more values or levels than allowed.
    void checkBounds(std::size_t depth, std::size_t values)
    {
        if (depth > maxDocumentDepth)
            throw std::invalid_argument("document is nested too deeply");
        if (values > maxDocumentValues)
            throw std::invalid_argument("document has too many values");
    }

    // Finds brackets and commas outside of strings. Whether the text is JSON is left to the parser.
    void scanJson(std::string_view text)
    {
        std::size_t depth = 0, values = 1;
        for (std::size_t n = 0; n < text.size(); ++n) {
            switch (text[n]) {
            case '"':
                for (n = text.find_first_of("\"\\", n + 1); n != std::string_view::npos && text[n] == '\\';)
                    n = text.find_first_of("\"\\", n + 2);
                if (n == std::string_view::npos)
                    return;
                break;
            case '[':
            case '{':
                checkBounds(++depth, ++values);
                break;
            case ']':
            case '}':
                depth -= depth > 0 ? 1 : 0;
                break;
            case ',':
                checkBounds(depth, ++values);
                break;
            }
        }
    }

    [[noreturn]] void rejectCbor() { throw std::invalid_argument("bytes are no CBOR of an instance"); }

    // Walks through the bytes of a CBOR document without recursion.
    class CborScan {
    public:
        explicit CborScan(std::string_view bytes)
            : m_bytes(bytes)
        {
        }

        void run()
        {
            std::size_t values = 0;
            do {
                checkBounds(m_depth, ++values);
                readValue();
                while (m_depth > 0 && m_missing[m_depth - 1] == 0)
                    --m_depth;
            } while (m_depth > 0);
            if (m_position != m_bytes.size())
                rejectCbor();
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
            checkBounds(m_depth + 1, 0);
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
        std::size_t m_position = 0;
        std::size_t m_depth = 0;
        // Of each array and map around the position, the values that follow.
        std::array<std::uint64_t, maxDocumentDepth> m_missing {};
    };

}

Json parseJson(const std::string& text)
{
    scanJson(text);
    return Json::parse(text);
}

Json parseCbor(const std::string& bytes)
{
    CborScan(bytes).run();
    return Json::from_cbor(bytes);
}

}
