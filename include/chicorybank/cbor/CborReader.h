// Strict reading of CBOR arrays (RFC 8949, by Qt).
//
// Qt's own decoder returns what it has read when the bytes end early; taken
// for the whole, half a rule set would come into force. `decodeCbor` refuses
// that.

#ifndef CHICORYBANK_CBOR_CBORREADER_H
#define CHICORYBANK_CBOR_CBORREADER_H

#include "chicorybank/base/Types.h"

#include <QByteArray>
#include <QCborArray>
#include <QCborValue>
#include <vector>

namespace chicory {

/// The one value that the bytes hold; an invalid value (see
/// QCborValue::isInvalid) for bytes that are cut off, damaged or too many.
QCborValue decodeCbor(const QByteArray &bytes);

/// Reads the items of an array one after another, and remembers whether each
/// was there and had its kind.
///
///   CborReader reader(decodeCbor(bytes));
///   qint64 count = reader.number(100);
///   std::string name = reader.text();
///   if (!reader.done())
///     return Reason::BadPacket;
class CborReader {
public:
  explicit CborReader(const QCborValue &value);

  /// A whole number from zero to `max`.
  qint64 number(qint64 max = INT64_MAX);
  /// A number that uses all 64 bits.
  uint64_t bits();
  std::string text();
  bool flag();
  QByteArray bytes();
  QCborArray list();
  /// A list of instance ids.
  std::vector<InstanceId> instances();
  /// An address in its packed form.
  Address address();
  /// Adds a condition of the caller's.
  void require(bool condition) { Ok = Ok && condition; }
  /// True where every item was read and all was well.
  bool done() const { return Ok && Position == Items.size(); }

private:
  QCborValue next() { return Items.at(Position++); }

  QCborArray Items;
  qsizetype Position = 0;
  bool Ok;
};

} // namespace chicory

#endif
