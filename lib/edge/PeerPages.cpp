#include "PeerPages.h"

#include "chicorybank/edge/PeerMessages.h"

namespace chicory::edge {

namespace {

// Peers answer from memory, so a peer that sends nothing for this long is
// overloaded or unreachable. A large response over a slow link may take longer
// in total.
constexpr Duration PeerTimeout = std::chrono::milliseconds(500);
constexpr const char *PageType = "application/octet-stream";

/// Formats a position for a request target, such as "2.415".
std::string positionText(Position position) {
  return std::to_string(position.Generation.Value) + '.' +
         std::to_string(position.Revision);
}

std::optional<Position> parsePosition(std::string_view text) {
  size_t dot = text.find('.');
  if (dot == std::string_view::npos)
    return std::nullopt;
  auto generation = parseNumber(text.substr(0, dot));
  auto revision = parseNumber(text.substr(dot + 1));
  if (!generation || !revision)
    return std::nullopt;
  return Position{.Generation = Generation{*generation},
                  .Revision = static_cast<int64_t>(*revision)};
}

void parseResult(const HttpClient::Result &result, PageResult &out) {
  if (!result) {
    out.Error = httpFailureName(result.error());
    return;
  }
  out.HistoryTooShort = result->Status == HttpGone;
  if (result->Status != HttpOk) {
    out.Error = "status " + std::to_string(result->Status);
    return;
  }
  if (auto page = decodePage(result->Body))
    out.Page = std::move(*page);
  else
    out.Error = reasonName(page.error());
}

} // namespace

HttpResponse PeerPages::answer(const std::string &target) {
  constexpr std::string_view Whole = "/news";
  constexpr std::string_view After = "/news?after=";
  auto since =
      target.starts_with(After)
          ? parsePosition(std::string_view(target).substr(After.size()))
          : std::nullopt;
  if (!since && target != Whole)
    return {.Status = HttpNotFound};
  if (since && !Cache.hasHistorySince(*since))
    return {.Status = HttpGone};
  // All instances that pull after the same push request the same page.
  bool same = LastServed.Target == target &&
              LastServed.At == Cache.position() &&
              LastServed.Digest == Cache.digest();
  if (!same)
    LastServed = {.Target = target,
                  .At = Cache.position(),
                  .Digest = Cache.digest(),
                  .Bytes = encodePage(since ? *Cache.changesSince(*since)
                                            : Cache.snapshot())};
  return {.Status = HttpOk, .Body = LastServed.Bytes, .ContentType = PageType};
}

void PeerPages::read(InstanceId peer, Address at, std::optional<Position> since,
                     Handler done) {
  if (!Client || PeerId != peer) {
    Client = std::make_unique<HttpClient>(Events, SourceIp, at);
    PeerId = peer;
  }
  std::string target = "/news";
  if (since)
    target += "?after=" + positionText(*since);
  Client->call({.Target = std::move(target),
                .Timeout = PeerTimeout,
                .ExtendTimeoutOnData = true},
               [peer, whole = !since,
                done = std::move(done)](const HttpClient::Result &result) {
                 PageResult out{.Peer = peer, .Full = whole};
                 parseResult(result, out);
                 done(std::move(out));
               });
}

void PeerPages::expire(Time now) {
  if (Client)
    Client->expire(now);
}

} // namespace chicory::edge
