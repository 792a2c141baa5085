// Pages of news that instances read from each other, over HTTP: what does not
// fit into a push, and everything, for an instance that starts.

#ifndef CHICORYBANK_LIB_EDGE_PEERPAGES_H
#define CHICORYBANK_LIB_EDGE_PEERPAGES_H

#include "Http.h"

#include "chicorybank/edge/RegistryCache.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chicory::edge {

/// How the reading of a page ended.
struct PageResult {
  InstanceId Peer;
  /// Everything, not the changes behind a position.
  bool Full = false;
  std::optional<ItemPage> Page;
  /// The sender's history does not reach back to the position.
  bool HistoryTooShort = false;
  /// Why there is no page, for the log; empty where there is one.
  std::string Error;
};

/// Serves pages of this instance's copy, and reads those of one other instance
/// at a time.
class PeerPages {
public:
  using Handler = std::function<void(PageResult)>;

  /// Connections come from the IP `from`. `copy` is what others read.
  PeerPages(EventLoop &loop, uint32_t from, const RegistryCache &copy)
      : Events(loop), From(from), Copy(copy) {}

  /// Answers another instance: "/news" is everything, "/news?after=2.415" the
  /// changes behind a position.
  HttpResponse answer(const std::string &target);

  bool busy() const { return Client && Client->busy(); }
  /// Reads the changes behind a position, or everything. None may be under way.
  void read(InstanceId peer, Address at, std::optional<Position> since,
            Handler done);
  Time deadline() const { return Client ? Client->deadline() : Time::max(); }
  /// Ends a read whose time is over.
  void expire(Time now);

private:
  /// What was served last, and of which copy.
  struct Served {
    std::string Target;
    Position At;
    uint64_t Digest = 0;
    std::string Bytes;
  };

  EventLoop &Events;
  uint32_t From;
  const RegistryCache &Copy;
  std::unique_ptr<HttpClient> Client;
  InstanceId PeerId;
  Served Last;
};

} // namespace chicory::edge

#endif
