#include "core/document_depth.h"

#include <cstdint>
#include <limits>
#include <stdexcept>
#include <vector>

namespace skylarkhitch {

namespace {

    // Major types of CBOR (RFC 8949, section 3.1).
    constexpr unsigned majorBytes = 2;
    constexpr unsigned majorText = 3;
    constexpr unsigned majorArray = 4;
    constexpr unsigned majorMap = 5;
    constexpr unsigned majorTag = 6;
    constexpr unsigned indefiniteLength = 31;
    constexpr unsigned char breakByte = 0xff;

    // Follows the nesting of CBOR items without decoding them.
    class CborDepth {
    public:
        explicit CborDepth(std::string_view bytes)
            : m_bytes(bytes)
        {
        }

        bool exceeds(std::size_t limit)
        {
            while (readItem()) {
                if (m_open.size() > limit)
                    return true;
            }
            return false;
        }

    private:
        struct Level {
            // Items that are still to come, unless a break ends them.
            std::uint64_t left;
            bool endsWithBreak;
        };

        // Reads the head of the next item, and the bytes of a string. Returns false at the end and at malformed bytes.
        bool readItem()
        {
            while (!m_open.empty() && !m_open.back().endsWithBreak && m_open.back().left == 0)
                m_open.pop_back();
            if (m_at == m_bytes.size())
                return false;
            auto first = static_cast<unsigned char>(m_bytes[m_at++]);
            if (first == breakByte)
                return closeIndefinite();
            if (!m_open.empty() && !m_open.back().endsWithBreak)
                --m_open.back().left;
            unsigned info = first & 31;
            std::uint64_t argument = info;
            bool isIndefinite = info == indefiniteLength;
            if (!isIndefinite && !readArgument(info, argument))
                return false;
            return openItem(first >> 5, argument, isIndefinite);
        }

        bool closeIndefinite()
        {
            if (m_open.empty() || !m_open.back().endsWithBreak)
                return false;
            m_open.pop_back();
            return true;
        }

        // Reads the argument that follows the first byte of an item, of 1, 2, 4 or 8 bytes.
        bool readArgument(unsigned info, std::uint64_t& argument)
        {
            if (info < 24)
                return true;
            auto n = std::size_t { 1 } << (info - 24);
            if (info > 27 || m_bytes.size() - m_at < n)
                return false;
            argument = 0;
            for (std::size_t k = 0; k < n; ++k)
                argument = argument << 8 | static_cast<unsigned char>(m_bytes[m_at++]);
            return true;
        }

        bool openItem(unsigned major, std::uint64_t argument, bool isIndefinite)
        {
            constexpr auto most = std::numeric_limits<std::uint64_t>::max();
            switch (major) {
            case majorBytes:
            case majorText:
                if (isIndefinite)
                    break;
                if (argument > m_bytes.size() - m_at)
                    return false;
                m_at += static_cast<std::size_t>(argument);
                return true;
            case majorArray:
                break;
            case majorMap:
                argument = argument > most / 2 ? most : argument * 2;
                break;
            case majorTag:
                argument = 1;
                break;
            default:
                return !isIndefinite;
            }
            m_open.push_back({ argument, isIndefinite });
            return true;
        }

        std::string_view m_bytes;
        std::size_t m_at = 0;
        std::vector<Level> m_open;
    };

}

bool isJsonDeeperThan(std::string_view text, std::size_t limit)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        char c = text[n];
        if (c == '"')
            inString = !inString;
        else if (inString && c == '\\')
            ++n;
        else if (!inString && (c == '[' || c == '{') && ++depth > limit)
            return true;
        else if (!inString && (c == ']' || c == '}') && depth > 0)
            --depth;
    }
    return false;
}

bool isCborDeeperThan(std::string_view bytes, std::size_t limit)
{
    return CborDepth(bytes).exceeds(limit);
}

nlohmann::json decodeBoundedCbor(const std::string& bytes)
{
    if (isCborDeeperThan(bytes, maxDocumentDepth))
        throw std::invalid_argument("nested too deeply");
    return nlohmann::json::from_cbor(bytes);
}

}
