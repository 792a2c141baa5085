#include "chicorybank/cbor/CborReader.h"

namespace chicory {

QCborValue decodeCbor(const QByteArray &bytes) {
  QCborParserError error;
  QCborValue value = QCborValue::fromCbor(bytes, &error);
  bool complete = error.error == QCborError{QCborError::NoError} &&
                  error.offset == bytes.size();
  return complete ? value : QCborValue(QCborValue::Invalid);
}

CborReader::CborReader(const QCborValue &value)
    : Items(value.toArray()), Ok(value.isArray()) {}

qint64 CborReader::number(qint64 max) {
  QCborValue value = next();
  qint64 out = value.toInteger(-1);
  require(value.isInteger() && out >= 0 && out <= max);
  return out;
}

uint64_t CborReader::bits() {
  QCborValue value = next();
  require(value.isInteger());
  return static_cast<uint64_t>(value.toInteger());
}

std::string CborReader::text() {
  QCborValue value = next();
  require(value.isString());
  return value.toString().toStdString();
}

bool CborReader::flag() {
  QCborValue value = next();
  require(value.isBool());
  return value.toBool();
}

QByteArray CborReader::bytes() {
  QCborValue value = next();
  require(value.isByteArray());
  return value.toByteArray();
}

QCborArray CborReader::list() {
  QCborValue value = next();
  require(value.isArray());
  return value.toArray();
}

std::vector<InstanceId> CborReader::instances() {
  std::vector<InstanceId> out;
  const QCborArray items = list();
  for (const auto &it : items) {
    require(it.isInteger());
    out.push_back(InstanceId{static_cast<uint32_t>(it.toInteger())});
  }
  return out;
}

Address CborReader::address() {
  constexpr qint64 MaxPacked = (qint64{1} << 48) - 1;
  return Address::unpack(static_cast<uint64_t>(number(MaxPacked)));
}

} // namespace chicory
