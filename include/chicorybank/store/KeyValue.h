// The interface of the platform's key-value service, and a client for it.
//
// The client speaks the published JSON form of the etcd v3 API over HTTP/1.1:
// /v3/kv/range, /v3/kv/txn, /v3/kv/put, /v3/kv/deleterange, /v3/lease/grant,
// /v3/lease/keepalive and /v3/watch. The client is used only with that
// service; chicorybank runs no store itself.

#ifndef CHICORYBANK_STORE_KEYVALUE_H
#define CHICORYBANK_STORE_KEYVALUE_H

#include "chicorybank/base/Types.h"

#include <QByteArray>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace chicory {

/// Why a call failed.
enum class PlatformError : uint8_t {
  Unreachable, ///< Not sent, or refused before it had any effect.
  Unknown,     ///< The response was lost; the call may have taken effect.
  Limited,     ///< Refused by the rate limit; it had no effect.
  BadResponse, ///< The response is invalid; the call may have taken effect.
};

/// Returns the name of an error for logs and operators.
std::string_view platformErrorName(PlatformError error);

/// A key and its value at one revision.
struct KeyValue {
  std::string Key;
  QByteArray Value;
  /// The revision of the service at which the value was last written.
  int64_t ModRevision = 0;
};

/// One write of a transaction.
struct KeyValuePut {
  std::string Key;
  QByteArray Value;
};

/// Writes all of `Puts` in one transaction if `Key` still has the expected
/// revision. Zero expects the key to be absent.
struct CompareAndSwap {
  std::string Key;
  int64_t ExpectedRevision = 0;
  std::vector<KeyValuePut> Puts;
};

template <typename T> using PlatformResult = tl::expected<T, PlatformError>;

/// The key-value service. Calls block.
class KeyValueService {
public:
  virtual ~KeyValueService() = default;
  /// Returns the value of one key; an empty list if the key is absent.
  virtual PlatformResult<std::vector<KeyValue>> get(const std::string &key) = 0;
  /// Returns every key with a prefix.
  virtual PlatformResult<std::vector<KeyValue>>
  list(const std::string &prefix) = 0;
  /// Returns whether the swap took place.
  virtual PlatformResult<bool> swap(const CompareAndSwap &swap) = 0;
  /// Writes unconditionally; idempotent.
  virtual PlatformResult<void> put(const KeyValuePut &put) = 0;
  virtual PlatformResult<void> remove(const std::string &key) = 0;
  /// Calls `changed` for each change of a key with this prefix, until `changed`
  /// returns false, the connection is lost or another thread calls `interrupt`.
  virtual PlatformResult<void>
  watch(const std::string &prefix,
        const std::function<bool(const KeyValue &)> &changed) = 0;
  /// Ends `watch` and calls in progress. May be called from any thread.
  virtual void interrupt() = 0;
};

/// Options of the client.
struct PlatformClientOptions {
  std::vector<Address> Servers;
  /// The source address of calls, by which the platform's network identifies
  /// the caller. Zero lets the system choose it.
  uint32_t SourceIp = 0;
  Duration Timeout = std::chrono::seconds(2);
};

/// Makes a client for the platform's service. A client must not be shared
/// between threads.
std::unique_ptr<KeyValueService>
makePlatformClient(const PlatformClientOptions &options);

} // namespace chicory

#endif
