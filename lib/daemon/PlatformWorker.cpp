#include "PlatformWorker.h"

#include <easylogging++.h>
#include <random>

namespace chicory {

namespace {

constexpr Duration PauseStep = std::chrono::milliseconds(50);
constexpr Duration RetryMin = std::chrono::milliseconds(200);
constexpr Duration RetryMax = std::chrono::seconds(5);
constexpr uint64_t MaxDoublings = 5;

/// Returns an exponential back-off with jitter. Without jitter, all instances
/// would retry at the same moment after an outage of the platform.
Duration backOff(uint64_t failures) {
  static thread_local std::minstd_rand random(std::random_device{}());
  Duration base = RetryMin * (1 << std::min(failures, MaxDoublings));
  Duration capped = std::min(base, Duration(RetryMax));
  return capped / 2 + Duration(random() % capped.count());
}

} // namespace

PlatformWorker::PlatformWorker(const Settings &settings, RuleStore &store,
                               CoreRings &rings, WorkerCounters &counters)
    : Config(settings), Store(store), Rings(rings), Counters(counters),
      Reader(makePlatformClient(settings.Platform)),
      Writer(makePlatformClient(settings.Platform)) {}

void PlatformWorker::start() {
  ReaderThread = std::thread([this] { runReader(); });
  WriterThread = std::thread([this] { runWriter(); });
}

void PlatformWorker::stop() {
  if (Stopping.exchange(true))
    return;
  Reader->interrupt();
  Writer->interrupt();
  if (ReaderThread.joinable())
    ReaderThread.join();
  if (WriterThread.joinable())
    WriterThread.join();
}

void PlatformWorker::pause(Duration length) {
  for (Duration done{}; done < length && !Stopping; done += PauseStep)
    std::this_thread::sleep_for(PauseStep);
}

void PlatformWorker::runReader() {
  while (!Stopping) {
    bool ok = readAll();
    if (ok && Watching)
      ok = watchOnce();
    else if (ok)
      pause(Config.PlatformPoll);
    Failures = ok ? 0 : Failures + 1;
    if (!ok)
      pause(backOff(Failures));
  }
}

bool PlatformWorker::readAll() {
  ++Calls;
  auto instances = Reader->list(keys::Instances);
  if (!instances)
    return false;
  InstancesDiscovered discovered;
  for (const KeyValue &it : *instances) {
    auto info = decodeInstance(it.Value);
    if (info)
      discovered.Instances.push_back(*info);
    else
      Counters.refuse(info.error());
  }
  if (!Rings.PlatformReader.try_enqueue(discovered))
    Counters.refuse(Reason::RingFull);
  for (const char *key : {keys::Members, keys::Manifest}) {
    ++Calls;
    auto found = Reader->get(key);
    if (!found)
      return false;
    for (const KeyValue &it : *found)
      apply(it, *Reader);
  }
  return true;
}

bool PlatformWorker::watchOnce() {
  ++Calls;
  auto changed = [this](const KeyValue &change) {
    apply(change, *Reader);
    return !Stopping && Watching;
  };
  return Reader->watch(keys::Root, changed).has_value();
}

void PlatformWorker::apply(const KeyValue &change, KeyValueService &service) {
  if (change.Key == keys::Manifest)
    applyManifest(change.Value, service);
  else if (change.Key == keys::Members)
    applyMembers(change.Value, Rings.PlatformReader);
}

void PlatformWorker::applyManifest(const QByteArray &value,
                                   KeyValueService &service) {
  auto manifest = decodeManifest(value);
  if (!manifest)
    return Counters.refuse(manifest.error());
  if (manifest->Version <= Store.version())
    return repairRules(*manifest, service);
  PageStore pages = Store.pages();
  ++Calls;
  if (!RuleRegistry(service).fetchPages(*manifest, pages))
    return; // The manifest is read again after the next pause.
  auto rules = Store.learn(*manifest, pages);
  if (!rules)
    return Counters.refuse(rules.error());
  if (*rules &&
      !Rings.PlatformReader.try_enqueue(RulesLearned{.Rules = *rules}))
    Counters.refuse(Reason::RingFull);
}

/// Keeps accepted rules in force and stored after the platform was restored
/// from an older copy. The watch reads back what is written here. Where several
/// watchers write, the first write succeeds and the others have no effect.
void PlatformWorker::repairRules(const RuleManifest &stored,
                                 KeyValueService &service) {
  StoredRules state = Store.compare(stored);
  if (state == StoredRules::Current || !Watching)
    return;
  ++Calls;
  RuleRegistry registry(service);
  auto done =
      state == StoredRules::Lost
          ? registry.restoreVersion(stored, Store.manifest(), Store.pages())
          : registry.renumber(stored, Store.version());
  if (!done)
    LOG(WARNING) << "event=rules_not_repaired version=" << stored.Version.Value
                 << " why=" << platformErrorName(done.error());
  else if (*done)
    LOG(INFO) << "event=rules_repaired stored=" << stored.Version.Value
              << " cause="
              << (state == StoredRules::Lost ? "lost" : "number_reused");
}

void PlatformWorker::applyMembers(const QByteArray &value,
                                  moodycamel::ReaderWriterQueue<Event> &ring) {
  auto document = decodeMembers(value);
  if (!document)
    return Counters.refuse(document.error());
  if (!ring.try_enqueue(MembersLearned{.Document = *document}))
    Counters.refuse(Reason::RingFull);
}

void PlatformWorker::write(const MembersDocument &document) {
  std::lock_guard lock(WriteLock);
  PendingWrite = document;
}

void PlatformWorker::runWriter() {
  while (!Stopping) {
    std::optional<MembersDocument> document;
    {
      std::lock_guard lock(WriteLock);
      document.swap(PendingWrite);
    }
    if (document)
      writeMembers(*document);
    else
      pause(PauseStep);
  }
}

void PlatformWorker::writeMembers(const MembersDocument &document) {
  ++Calls;
  auto found = Writer->get(keys::Members);
  if (!found)
    return;
  int64_t revision = 0;
  MembersVersion stored;
  if (!found->empty()) {
    auto current = decodeMembers(found->front().Value);
    if (!current)
      return Counters.refuse(current.error());
    stored = current->Version;
    revision = found->front().ModRevision;
  }
  if (stored.Value + 1 == document.Version.Value) {
    ++Calls;
    (void)Writer->swap(
        {.Key = keys::Members,
         .ExpectedRevision = revision,
         .Puts = {{.Key = keys::Members, .Value = encodeMembers(document)}}});
  }
  // Read the stored document whether the swap succeeded, lost a race or lost
  // its response: the value in the platform is authoritative.
  ++Calls;
  auto now = Writer->get(keys::Members);
  if (now && !now->empty())
    applyMembers(now->front().Value, Rings.PlatformWriter);
}

} // namespace chicory
