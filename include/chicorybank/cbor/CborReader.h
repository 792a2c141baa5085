// Strict decoding of CBOR arrays (RFC 8949), based on Qt.
//
// Qt's decoder returns the items that it has read when the input is truncated.
// Without a check, half a rule set would come into force. `decodeCbor` rejects
// such input.

#ifndef CHICORYBANK_CBOR_CBORREADER_H
#define CHICORYBANK_CBOR_CBORREADER_H

#include "chicorybank/base/Types.h"

#include <QByteArray>
#include <QCborArray>
#include <QCborValue>
#include <vector>

namespace chicory {

/// Decodes a single value. Returns an invalid value (see QCborValue::isInvalid)
/// if the bytes are truncated or malformed, or if more bytes follow the value.
QCborValue decodeCbor(const QByteArray &bytes);

/// Reads the items of an array in order. `done` returns false if an item was
/// missing, had the wrong type or was out of range.
///
///   CborReader reader(decodeCbor(bytes));
///   qint64 count = reader.number(100);
///   std::string name = reader.text();
///   if (!reader.done())
///     return Reason::BadPacket;
class CborReader {
public:
  explicit CborReader(const QCborValue &value);

  /// Reads an integer from zero to `max`.
  qint64 number(qint64 max = INT64_MAX);
  /// Reads an integer that may use all 64 bits.
  uint64_t bits();
  std::string text();
  bool flag();
  QByteArray bytes();
  QCborArray list();
  /// Reads a list of instance ids.
  std::vector<InstanceId> instances();
  /// Reads an address in its packed form.
  Address address();
  /// Makes `done` return false if the caller's own check fails.
  void require(bool condition) { Ok = Ok && condition; }
  /// Returns true if every item of the array was read without an error.
  bool done() const { return Ok && Position == Items.size(); }

private:
  QCborValue next() { return Items.at(Position++); }

  QCborArray Items;
  qsizetype Position = 0;
  bool Ok;
};

} // namespace chicory

#endif
