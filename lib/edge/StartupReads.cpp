#include "chicorybank/edge/StartupReads.h"

#include "chicorybank/edge/Directory.h"

#include <algorithm>

namespace chicory::edge {

RegistryCall StartupReads::call() const {
  switch (State) {
  case Step::OperatorSettings:
    return Dialect.readOperatorSettings(
        OperatorSettings.Items.empty() ? std::string()
                                       : OperatorSettings.Items.back().Key);
  case Step::Directory:
    return Dialect.readDirectory(Zone);
  case Step::OtherDirectories:
    return Dialect.readDirectories(LastPartKey);
  case Step::RouteHistory:
  case Step::Done:
    break;
  }
  return Dialect.readRouteHistory();
}

tl::expected<void, std::string>
StartupReads::handleAnswer(const std::string &body, Generation generation,
                           RegistryCache &cache, Findings &findings,
                           std::vector<Change> &out) {
  switch (State) {
  case Step::Directory: {
    auto result = handleDirectory(body, generation, out);
    State = DirectoryServers.empty() ? Step::Done : Step::OperatorSettings;
    return result;
  }
  case Step::OperatorSettings:
    return handleOperatorSettings(body, generation, cache, findings, out);
  case Step::RouteHistory:
    return handleRouteHistory(body, generation, cache, findings, out);
  case Step::OtherDirectories:
    return handleOtherDirectories(body, generation, out);
  case Step::Done:
    break;
  }
  return {};
}

tl::expected<void, std::string>
StartupReads::handleRouteHistory(const std::string &body, Generation generation,
                                 RegistryCache &cache, Findings &findings,
                                 std::vector<Change> &out) {
  State = Step::OtherDirectories;
  auto page = Dialect.parsePage(body);
  if (!page)
    return tl::make_unexpected(page.error());
  page->setGeneration(generation);
  page->markMayBeStale();
  out = cache.applyPartial(*page, findings);
  return {};
}

tl::expected<void, std::string> StartupReads::handleOperatorSettings(
    const std::string &body, Generation generation, RegistryCache &cache,
    Findings &findings, std::vector<Change> &out) {
  State = Step::RouteHistory;
  if (body.empty())
    return {};
  auto page = Dialect.parsePage(body);
  if (!page)
    return tl::make_unexpected(page.error());
  page->setGeneration(generation);
  if (!OperatorSettings.Items.empty() &&
      OperatorSettings.At.Generation != generation) {
    // Pages of two generations are no consistent whole.
    OperatorSettings = {};
    State = Step::OperatorSettings;
    return {};
  }
  if (OperatorSettings.Items.empty())
    OperatorSettings.At = page->At;
  OperatorSettings.Items.insert(OperatorSettings.Items.end(),
                                page->Items.begin(), page->Items.end());
  if (page->More && !page->Items.empty()) {
    State = Step::OperatorSettings;
    return {};
  }
  out = cache.applyOperatorSettings(OperatorSettings, findings);
  return {};
}

/// The servers become changes without an item: the cache holds only items of
/// the registry.
tl::expected<void, std::string>
StartupReads::handleDirectory(const std::string &body, Generation generation,
                              std::vector<Change> &out) {
  if (body.empty())
    return {};
  auto item = Dialect.parseItem(body);
  if (!item)
    return tl::make_unexpected(item.error());
  return addServers(*item, generation, out);
}

/// A part that can't be parsed does not affect the others.
tl::expected<void, std::string> StartupReads::handleOtherDirectories(
    const std::string &body, Generation generation, std::vector<Change> &out) {
  State = Step::Done;
  auto page = Dialect.parsePage(body);
  if (!page)
    return tl::make_unexpected(page.error());
  tl::expected<void, std::string> result;
  for (const Item &it : page->Items) {
    LastPartKey = it.Key;
    if (auto one = addServers(it, generation, out); !one)
      result = one;
  }
  if (page->More && !page->Items.empty())
    State = Step::OtherDirectories;
  return result;
}

tl::expected<void, std::string>
StartupReads::addServers(const Item &part, Generation generation,
                         std::vector<Change> &out) {
  auto directory = decodeDirectory(part.Value);
  if (!directory)
    return tl::make_unexpected(std::string(reasonName(directory.error())));
  Instances = std::max(Instances, directory->Instances);
  for (token::Registration &it : directory->Servers) {
    // The writer may have known another history than the registry's present
    // one.
    it.Order.Generation = generation.Value;
    it.Order.Origin = token::RegistrationOrigin::Uncertain;
    if (DirectoryServers.insert(it.Id).second)
      out.push_back({.Source = {}, .Content = std::move(it)});
  }
  return {};
}

double StartupReads::earlyListShare() const {
  return static_cast<double>(EarlyLists) /
         static_cast<double>(std::max(Instances, EarlyLists));
}

Duration StartupReads::callDelayMax() const {
  if (State != Step::OtherDirectories || !LastPartKey.empty())
    return Duration::zero();
  auto pairs = static_cast<int64_t>(Instances * DirectoryServers.size());
  return std::min<Duration>(DelayMax, std::chrono::duration_cast<Duration>(
                                          OtherPartsDelayPerPair * pairs));
}

Duration StartupReads::listDelayMax() const {
  return std::min(DelayMax, ListDelayPerServer *
                                static_cast<int64_t>(DirectoryServers.size()));
}

} // namespace chicory::edge
