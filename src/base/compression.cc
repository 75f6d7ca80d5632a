#include "base/compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace lacewing {

namespace {

constexpr size_t pieceBytes = 16 * 1024;

/// zlib doesn't change its input, but its interface lacks the const.
Bytef* inputOf(std::string_view bytes)
{
    return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

} // namespace

std::string compress(std::string_view bytes)
{
    uLongf length = compressBound(static_cast<uLong>(bytes.size()));
    std::string compressed(length, '\0');
    compress2(reinterpret_cast<Bytef*>(compressed.data()), &length, inputOf(bytes),
        static_cast<uLong>(bytes.size()), Z_BEST_SPEED);
    compressed.resize(length);
    return compressed;
}

std::optional<std::string> decompress(std::string_view compressed, size_t maximumBytes)
{
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK)
        return std::nullopt;
    stream.next_in = inputOf(compressed);
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::array<char, pieceBytes> piece {};
    std::string bytes;
    int status = Z_OK;
    while (status == Z_OK && bytes.size() <= maximumBytes) {
        stream.next_out = reinterpret_cast<Bytef*>(piece.data());
        stream.avail_out = static_cast<uInt>(piece.size());
        status = inflate(&stream, Z_NO_FLUSH);
        bytes.append(piece.data(), piece.size() - stream.avail_out);
    }
    const bool isWhole = status == Z_STREAM_END && stream.avail_in == 0;
    inflateEnd(&stream);
    if (!isWhole || bytes.size() > maximumBytes)
        return std::nullopt;
    return bytes;
}

} // namespace lacewing
