// Pages of registry items that instances read from each other over HTTP:
// changes that do not fit into a push, and full copies for an instance that
// starts.

#ifndef CHICORYBANK_LIB_EDGE_PEERPAGES_H
#define CHICORYBANK_LIB_EDGE_PEERPAGES_H

#include "Http.h"

#include "chicorybank/edge/RegistryCache.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chicory::edge {

/// The result of reading a page from another instance.
struct PageResult {
  InstanceId Peer;
  /// A full copy was requested, not the changes since a position.
  bool Full = false;
  std::optional<ItemPage> Page;
  /// The peer's history does not reach back to the position.
  bool HistoryTooShort = false;
  /// Why there is no page, for the log; empty if there is one.
  std::string Error;
};

/// Serves pages of this instance's registry cache, and reads pages from one
/// other instance at a time.
class PeerPages {
public:
  using Handler = std::function<void(PageResult)>;

  /// `from`: the local IP of the connections. `cache`: served to others.
  PeerPages(EventLoop &loop, uint32_t from, const RegistryCache &cache)
      : Events(loop), SourceIp(from), Cache(cache) {}

  /// Answers another instance: "/news" returns a full copy, "/news?after=2.415"
  /// the changes since generation 2, revision 415.
  HttpResponse answer(const std::string &target);

  bool busy() const { return Client && Client->busy(); }
  /// Reads the changes since a position, or a full copy. No other read may be
  /// in progress.
  void read(InstanceId peer, Address at, std::optional<Position> since,
            Handler done);
  Time deadline() const { return Client ? Client->deadline() : Time::max(); }
  /// Ends the read if its timeout has passed.
  void expire(Time now);

private:
  /// The page that was served last, and the state of the cache then.
  struct ServedPage {
    std::string Target;
    Position At;
    uint64_t Digest = 0;
    std::string Bytes;
  };

  EventLoop &Events;
  uint32_t SourceIp;
  const RegistryCache &Cache;
  std::unique_ptr<HttpClient> Client;
  InstanceId PeerId;
  ServedPage LastServed;
};

} // namespace chicory::edge

#endif
