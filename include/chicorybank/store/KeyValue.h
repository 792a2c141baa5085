// The platform's key-value service, as an interface and as a client.
//
// The client speaks the published JSON form of the etcd v3 API over HTTP/1.1:
// /v3/kv/range, /v3/kv/txn, /v3/kv/put, /v3/kv/deleterange, /v3/lease/grant,
// /v3/lease/keepalive and /v3/watch. It is used for nothing but that service;
// chicorybank runs no store of its own.

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

/// Why a call has no result.
enum class PlatformError : uint8_t {
  Unreachable, ///< It was not sent, or was refused before it had any effect.
  Unknown,     ///< The answer was lost: it may have taken effect.
  Limited,     ///< The service asks for fewer calls; it had no effect.
  BadResponse, ///< The answer can't be read; it may have taken effect.
};

/// A word for logs and for operators.
std::string_view platformErrorName(PlatformError error);

/// A key and its value as of one revision.
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

/// Writes all of `Puts`, if the key still has this revision (zero: is absent).
struct CompareAndSwap {
  std::string Key;
  int64_t ExpectedRevision = 0;
  std::vector<KeyValuePut> Puts;
};

template <typename T> using PlatformResult = tl::expected<T, PlatformError>;

/// The service as the rest of chicorybank sees it. Calls block.
class KeyValueService {
public:
  virtual ~KeyValueService() = default;
  /// The values of one key, or of every key with a prefix.
  virtual PlatformResult<std::vector<KeyValue>> get(const std::string &key) = 0;
  virtual PlatformResult<std::vector<KeyValue>>
  list(const std::string &prefix) = 0;
  /// True where the swap took place.
  virtual PlatformResult<bool> swap(const CompareAndSwap &swap) = 0;
  /// Writes without a condition; safe to repeat.
  virtual PlatformResult<void> put(const KeyValuePut &put) = 0;
  virtual PlatformResult<void> remove(const std::string &key) = 0;
  /// Calls `changed` for each change below a prefix until it returns false, the
  /// connection is lost, or `interrupt` is called from another thread.
  virtual PlatformResult<void>
  watch(const std::string &prefix,
        const std::function<bool(const KeyValue &)> &changed) = 0;
  virtual void interrupt() = 0;
};

/// Options of the client.
struct PlatformClientOptions {
  std::vector<Address> Servers;
  /// The source address, so that the platform's network can tell who calls.
  uint32_t SourceIp = 0;
  Duration Timeout = std::chrono::seconds(2);
};

/// A client of the real service. Each thread needs one of its own.
std::unique_ptr<KeyValueService>
makePlatformClient(const PlatformClientOptions &options);

} // namespace chicory

#endif
