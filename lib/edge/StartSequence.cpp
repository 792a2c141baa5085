#include "chicorybank/edge/StartSequence.h"

#include "chicorybank/edge/Directory.h"

#include <algorithm>

namespace chicory::edge {

RegistryCall StartSequence::call() const {
  switch (State) {
  case Step::Orders:
    return Dialect.readOrders(Orders.Items.empty() ? std::string()
                                                   : Orders.Items.back().Key);
  case Step::Directory:
    return Dialect.readDirectory(Zone);
  case Step::OtherDirectories:
    return Dialect.readDirectories(LastPart);
  case Step::RouteHistory:
  case Step::Done:
    break;
  }
  return Dialect.readRouteHistory();
}

tl::expected<void, std::string> StartSequence::take(const std::string &body,
                                                    Generation generation,
                                                    Mirror &copy,
                                                    Findings &findings,
                                                    std::vector<Change> &out) {
  switch (State) {
  case Step::Directory: {
    auto taken = takeDirectory(body, out);
    State = Named.empty() ? Step::Done : Step::Orders;
    return taken;
  }
  case Step::Orders:
    return takeOrders(body, generation, copy, findings, out);
  case Step::RouteHistory:
    return takeRouteHistory(body, generation, copy, findings, out);
  case Step::OtherDirectories:
    return takeOtherDirectories(body, out);
  case Step::Done:
    break;
  }
  return {};
}

tl::expected<void, std::string>
StartSequence::takeRouteHistory(const std::string &body, Generation generation,
                                Mirror &copy, Findings &findings,
                                std::vector<Change> &out) {
  State = Step::OtherDirectories;
  auto page = Dialect.readPage(body);
  if (!page)
    return tl::make_unexpected(page.error());
  page->setGeneration(generation);
  page->yieldToAll();
  out = copy.preview(*page, findings);
  return {};
}

tl::expected<void, std::string>
StartSequence::takeOrders(const std::string &body, Generation generation,
                          Mirror &copy, Findings &findings,
                          std::vector<Change> &out) {
  State = Step::RouteHistory;
  if (body.empty())
    return {};
  auto page = Dialect.readPage(body);
  if (!page)
    return tl::make_unexpected(page.error());
  page->setGeneration(generation);
  if (!Orders.Items.empty() && Orders.At.Generation != generation) {
    // Pages of two generations are no whole.
    Orders = {};
    State = Step::Orders;
    return {};
  }
  if (Orders.Items.empty())
    Orders.At = page->At;
  Orders.Items.insert(Orders.Items.end(), page->Items.begin(),
                      page->Items.end());
  if (page->More && !page->Items.empty()) {
    State = Step::Orders;
    return {};
  }
  out = copy.takeOrders(Orders, findings);
  return {};
}

/// The servers become changes without an item: the copy holds only what the
/// registry has told.
tl::expected<void, std::string>
StartSequence::takeDirectory(const std::string &body,
                             std::vector<Change> &out) {
  if (body.empty())
    return {};
  auto item = Dialect.readItem(body);
  if (!item)
    return tl::make_unexpected(item.error());
  return addServers(*item, out);
}

/// A part that can't be read leaves the others as they are.
tl::expected<void, std::string>
StartSequence::takeOtherDirectories(const std::string &body,
                                    std::vector<Change> &out) {
  State = Step::Done;
  auto page = Dialect.readPage(body);
  if (!page)
    return tl::make_unexpected(page.error());
  tl::expected<void, std::string> taken;
  for (const Item &it : page->Items) {
    LastPart = it.Key;
    if (auto one = addServers(it, out); !one)
      taken = one;
  }
  if (page->More && !page->Items.empty())
    State = Step::OtherDirectories;
  return taken;
}

tl::expected<void, std::string>
StartSequence::addServers(const Item &part, std::vector<Change> &out) {
  auto directory = decodeDirectory(part.Value);
  if (!directory)
    return tl::make_unexpected(std::string(reasonName(directory.error())));
  Instances = std::max(Instances, directory->Instances);
  for (token::Registration &it : directory->Servers)
    if (Named.insert(it.Id).second)
      out.push_back({.What = {}, .Meaning = std::move(it)});
  return {};
}

double StartSequence::earlyShare() const {
  return static_cast<double>(EarlyLists) /
         static_cast<double>(std::max(Instances, EarlyLists));
}

Duration StartSequence::nextSpread() const {
  if (State != Step::OtherDirectories || !LastPart.empty())
    return Duration::zero();
  auto pairs = static_cast<int64_t>(Instances * Named.size());
  return std::min<Duration>(
      ListSpreadMost,
      std::chrono::duration_cast<Duration>(OtherPartsSpread * pairs));
}

Duration StartSequence::listSpread() const {
  return std::min(ListSpreadMost,
                  ListSpread * static_cast<int64_t>(Named.size()));
}

} // namespace chicory::edge
