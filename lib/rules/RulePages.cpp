#include "chicorybank/rules/RulePages.h"

#include "chicorybank/base/Hash.h"
#include "chicorybank/cbor/CborReader.h"

namespace chicory {

namespace {

// The average number of items in a page. A page ends after an item whose hash
// is a multiple of this.
constexpr uint64_t ItemsPerPage = 16;
constexpr qsizetype MaxItemsPerPage = 64;

QCborArray encodePrefixes(const std::vector<Prefix> &prefixes) {
  QCborArray out;
  for (const Prefix &it : prefixes)
    out.append(QCborArray{qint64{it.Ip}, qint64{it.Length}});
  return out;
}

QCborValue encodeRule(const Rule &rule) {
  QCborArray ports;
  for (const PortRange &it : rule.Ports)
    ports.append(QCborArray{qint64{it.First}, qint64{it.Last}});
  return QCborArray{QString::fromStdString(rule.Name),
                    encodePrefixes(rule.Sources),
                    encodePrefixes(rule.Destinations),
                    ports,
                    qint64{rule.Protocol},
                    static_cast<qint64>(rule.Service.Value)};
}

QCborValue encodeService(const Service &service) {
  QCborArray targets;
  for (const Target &it : service.Targets)
    targets.append(QCborArray{static_cast<qint64>(it.Id.packed()),
                              QString::fromStdString(it.Zone),
                              qint64{it.Weight}, it.Drain});
  return QCborArray{QString::fromStdString(service.Name), qint64{service.Slots},
                    qint64{service.Connections}, targets};
}

std::optional<std::vector<Prefix>> decodePrefixes(const QCborArray &list) {
  std::vector<Prefix> out;
  for (const auto &it : list) {
    CborReader reader(it);
    Prefix prefix{.Ip = static_cast<uint32_t>(reader.number(UINT32_MAX)),
                  .Length = static_cast<uint8_t>(reader.number(32))};
    if (!reader.done())
      return std::nullopt;
    out.push_back(prefix);
  }
  return out;
}

std::optional<Rule> decodeRule(const QCborValue &value) {
  CborReader reader(value);
  Rule out;
  out.Name = reader.text();
  auto sources = decodePrefixes(reader.list());
  auto destinations = decodePrefixes(reader.list());
  QCborArray ports = reader.list();
  out.Protocol = static_cast<uint8_t>(reader.number(UINT8_MAX));
  out.Service.Value = static_cast<uint32_t>(reader.number(UINT32_MAX));
  if (!reader.done() || !sources || !destinations)
    return std::nullopt;
  out.Sources = *sources;
  out.Destinations = *destinations;
  for (const auto &it : ports) {
    CborReader pair(it);
    PortRange range{.First = static_cast<uint16_t>(pair.number(UINT16_MAX)),
                    .Last = static_cast<uint16_t>(pair.number(UINT16_MAX))};
    if (!pair.done() || range.First > range.Last)
      return std::nullopt;
    out.Ports.push_back(range);
  }
  return out;
}

std::optional<Target> decodeTarget(const QCborValue &value) {
  CborReader reader(value);
  Target out;
  out.Id = reader.address();
  out.Zone = reader.text();
  out.Weight = static_cast<uint16_t>(reader.number(UINT16_MAX));
  out.Drain = reader.flag();
  return reader.done() ? std::optional(out) : std::nullopt;
}

std::optional<Service> decodeService(const QCborValue &value) {
  CborReader reader(value);
  Service out;
  out.Name = reader.text();
  out.Id = shortServiceId(serviceIdOf(out.Name));
  out.Slots = static_cast<uint16_t>(reader.number(UINT16_MAX));
  out.Connections = static_cast<uint32_t>(reader.number(UINT32_MAX));
  QCborArray targets = reader.list();
  if (!reader.done())
    return std::nullopt;
  for (const auto &it : targets) {
    std::optional<Target> target = decodeTarget(it);
    if (!target)
      return std::nullopt;
    out.Targets.push_back(*target);
  }
  return out;
}

/// Encodes items into pages and returns the ids of these pages.
template <typename Item, typename Encode>
std::vector<PageId> splitIntoPages(const std::vector<Item> &items,
                                   Encode encode, PageStore &pages) {
  std::vector<PageId> out;
  QCborArray page;
  auto flush = [&] {
    if (page.isEmpty())
      return;
    QByteArray bytes = QCborValue(page).toCbor();
    PageId id = pageIdOf(bytes);
    pages[id] = bytes;
    out.push_back(id);
    page = {};
  };
  for (const Item &it : items) {
    QCborValue value = encode(it);
    page.append(value);
    bool endsPage = pageIdOf(value.toCbor()).Value % ItemsPerPage == 0;
    if (endsPage || page.size() >= MaxItemsPerPage)
      flush();
  }
  flush();
  return out;
}

template <typename Item, typename Decode>
bool readPages(const std::vector<PageId> &ids, const PageStore &pages,
               Decode decode, std::vector<Item> &items) {
  for (PageId id : ids) {
    auto page = pages.find(id);
    if (page == pages.end() || pageIdOf(page->second) != id)
      return false;
    QCborValue value = decodeCbor(page->second);
    if (!value.isArray())
      return false;
    const QCborArray list = value.toArray();
    for (const auto &it : list) {
      std::optional<Item> item = decode(it);
      if (!item)
        return false;
      items.push_back(std::move(*item));
    }
  }
  return true;
}

QCborArray encodeIds(const std::vector<PageId> &ids) {
  QCborArray out;
  for (PageId it : ids)
    out.append(static_cast<qint64>(it.Value));
  return out;
}

std::optional<std::vector<PageId>> decodeIds(const QCborArray &list) {
  std::vector<PageId> out;
  for (const auto &it : list) {
    if (!it.isInteger())
      return std::nullopt;
    out.push_back(PageId{static_cast<uint64_t>(it.toInteger())});
  }
  return out;
}

} // namespace

PageId pageIdOf(const QByteArray &bytes) {
  return PageId{
      hashBytes({bytes.constData(), static_cast<size_t>(bytes.size())})};
}

std::vector<PageId> RuleManifest::allPages() const {
  std::vector<PageId> out = RulePages;
  out.insert(out.end(), ServicePages.begin(), ServicePages.end());
  return out;
}

RuleManifest paginate(const RuleSet &rules, PageStore &pages) {
  return {.Version = rules.Version,
          .SubmissionId = rules.SubmissionId,
          .RulePages = splitIntoPages(rules.Rules, encodeRule, pages),
          .ServicePages = splitIntoPages(rules.Services, encodeService, pages)};
}

tl::expected<RuleSet, Reason> assemble(const RuleManifest &manifest,
                                       const PageStore &pages) {
  RuleSet out;
  out.Version = manifest.Version;
  out.SubmissionId = manifest.SubmissionId;
  bool ok =
      readPages(manifest.RulePages, pages, decodeRule, out.Rules) &&
      readPages(manifest.ServicePages, pages, decodeService, out.Services);
  if (!ok)
    return tl::make_unexpected(Reason::BadPlatformValue);
  return out;
}

QByteArray encodeManifest(const RuleManifest &manifest) {
  QCborArray out{static_cast<qint64>(manifest.Version.Value),
                 QString::fromStdString(manifest.SubmissionId),
                 encodeIds(manifest.RulePages),
                 encodeIds(manifest.ServicePages)};
  return QCborValue(out).toCbor();
}

tl::expected<RuleManifest, Reason> decodeManifest(const QByteArray &bytes) {
  CborReader reader(decodeCbor(bytes));
  RuleManifest out;
  out.Version.Value = static_cast<uint64_t>(reader.number(INT64_MAX));
  out.SubmissionId = reader.text();
  auto rulePages = decodeIds(reader.list());
  auto servicePages = decodeIds(reader.list());
  if (!reader.done() || !rulePages || !servicePages)
    return tl::make_unexpected(Reason::BadPlatformValue);
  out.RulePages = *rulePages;
  out.ServicePages = *servicePages;
  return out;
}

} // namespace chicory
