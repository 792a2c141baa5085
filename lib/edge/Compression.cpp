#include "chicorybank/edge/Compression.h"

#include <algorithm>
#include <zlib.h>

namespace chicory::edge {

namespace {

// The output buffer grows in these steps, so that its size follows the actual
// output rather than the size that a message claims to have.
constexpr size_t StepBytes = 64 << 10;

struct Inflater {
  Inflater() : Ok(inflateInit(&Stream) == Z_OK) {}
  ~Inflater() { inflateEnd(&Stream); }
  Inflater(const Inflater &) = delete;
  Inflater &operator=(const Inflater &) = delete;

  z_stream Stream{};
  bool Ok;
};

} // namespace

std::string compress(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string out(size, '\0');
  // Fails only if memory runs out or the output buffer is too small.
  int status = compress2(reinterpret_cast<Bytef *>(out.data()), &size,
                         reinterpret_cast<const Bytef *>(bytes.data()),
                         bytes.size(), Z_BEST_SPEED);
  out.resize(status == Z_OK ? size : 0);
  return out;
}

tl::expected<std::string, Reason> decompress(std::span<const char> bytes,
                                             size_t maxBytes) {
  Inflater in;
  in.Stream.next_in =
      reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
  in.Stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  int status = in.Ok ? Z_OK : Z_MEM_ERROR;
  while (status == Z_OK && out.size() <= maxBytes) {
    size_t before = out.size();
    out.resize(std::min(before + StepBytes, maxBytes + 1));
    in.Stream.next_out = reinterpret_cast<Bytef *>(out.data() + before);
    in.Stream.avail_out = static_cast<uInt>(out.size() - before);
    status = inflate(&in.Stream, Z_NO_FLUSH);
    out.resize(out.size() - in.Stream.avail_out);
  }
  bool whole = status == Z_STREAM_END && in.Stream.avail_in == 0;
  if (!whole || out.size() > maxBytes)
    return tl::make_unexpected(Reason::BadPeerMessage);
  return out;
}

} // namespace chicory::edge
