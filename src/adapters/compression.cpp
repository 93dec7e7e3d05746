#include "adapters/compression.h"

#include "core/check.h"

#include <algorithm>
#include <memory>
#include <zlib.h>

namespace skylarkhitch {

namespace {

    constexpr std::size_t blockBytes = std::size_t { 64 } * 1024;

    struct InflateEnd {
        void operator()(z_stream* stream) const { inflateEnd(stream); }
    };

}

std::string compress(std::string_view bytes)
{
    std::string compressed(compressBound(bytes.size()), '\0');
    auto size = static_cast<uLongf>(compressed.size());
    // Instances may have a tenth of a core, and the lowest level gains most of what there is to gain.
    auto result = compress2(reinterpret_cast<Bytef*>(compressed.data()), &size, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    INTERNAL_CHECK(result == Z_OK) << "zlib failed with " << result;
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t maxBytes)
{
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK)
        return std::nullopt;
    std::unique_ptr<z_stream, InflateEnd> ended(&stream);
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(compressed.data()));
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string bytes;
    for (;;) {
        auto size = bytes.size();
        auto room = std::min(blockBytes, maxBytes + 1 - size);
        bytes.resize(size + room);
        stream.next_out = reinterpret_cast<Bytef*>(bytes.data() + size);
        stream.avail_out = static_cast<uInt>(room);
        auto result = inflate(&stream, Z_NO_FLUSH);
        bytes.resize(bytes.size() - stream.avail_out);
        if (bytes.size() > maxBytes)
            return std::nullopt;
        if (result == Z_STREAM_END)
            return stream.avail_in == 0 ? std::optional(std::move(bytes)) : std::nullopt;
        if (result != Z_OK)
            return std::nullopt;
    }
}

}
