// Tests when an instance writes the directory, and which parts.

#include "chicorybank/edge/DirectoryWriter.h"

#include "chicorybank/edge/Directory.h"

#include "RegistrySamples.h"
#include "Story.h"

using namespace story;
using namespace samples::registry;

namespace {

/// The local cache of an instance, and its writer.
struct WriterFixture {
  platform::StoreDialect Dialect;
  RegistryCache Cache{Dialect};
  DirectoryWriter Writer{Dialect};
  DirectorySummary Stored;
  Findings Faults;
  /// Bytes of all write calls.
  size_t Written = 0;

  void read(const Store &store, Time now) {
    Cache.replaceAll(store.list(), Faults);
    if (const Item *summary = store.item("chicorybank/start/digests")) {
      ItemContent content = Dialect.translate(*summary, Faults);
      Stored = std::get<DirectorySummary>(content);
    }
    Writer.learn(Cache, Stored, now);
  }
  /// Makes the write that is due; returns false if there is none.
  bool write(Store &store, Time now) {
    auto call = Writer.next(Cache, 500ms, now);
    if (!call)
      return false;
    Written += call->Body.size();
    Writer.answered(store.change(*call, now, "self"), now);
    return true;
  }
};

} // namespace

class DirectoryWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryWriterTest);
  CPPUNIT_TEST(writesMissingParts);
  CPPUNIT_TEST(writesNothingForRenewals);
  CPPUNIT_TEST(limitsTheWriteRate);
  CPPUNIT_TEST(writesChangedPartsOnly);
  CPPUNIT_TEST_SUITE_END();

  void writesMissingParts() {
    Store store;
    store.server(1);
    WriterFixture one;
    one.read(store, Start);
    expectTrue(!one.write(store, Start + 1s), "even the first instance waits");
    expectTrue(one.write(store, Start + 2s), "and writes");
    one.read(store, Start + 3s);
    expectTrue(one.Writer.nextAt(500ms) == Time::max(), "nothing is missing");
    section("a server drains", [&] {
      store.server(1, "draining");
      one.read(store, Start + 10s);
      expectTrue(one.write(store, Start + 12s), "its part is written again");
      auto bytes = store.item("chicorybank/start/zones/a")->Value;
      auto servers = decodeDirectory(bytes);
      expectTrue(servers && servers->Servers.at(0).Draining,
                 "with the current state");
    });
    section("a late write of a previous first instance", [&] {
      one.read(store, Start + 13s);
      store.put("chicorybank/start/digests", R"({"a":1})");
      one.read(store, Start + 14s);
      expectTrue(one.write(store, Start + 16s), "is replaced");
    });
    section("a write succeeds only if no other instance has written", [&] {
      RegistryCall call = one.Dialect.writeDirectory(
          {.Digests = {{"a", 5}}, .At = {.Revision = 77}}, {{"a", "x"}});
      expectTrue(
          call.Body.find(
              R"("expect":[{"key":"chicorybank/start/digests","revision":77}])") !=
              std::string::npos,
          call.Body);
    });
  }

  // In a deployment of 600 servers, 500 renewals a second are written in total.
  // They must not cause writes of the directory.
  void writesNothingForRenewals() {
    Store store;
    store.server(1);
    WriterFixture one;
    one.read(store, Start);
    one.write(store, Start + 2s);
    for (int n = 0; n < 100; ++n) {
      store.server(1, "ready", n);
      one.read(store, Start + 3s + n * 100ms);
      expectTrue(!one.write(store, Start + 3s + n * 100ms), "no change");
    }
  }

  // With 5,000 servers, some register or end every second, and the watching
  // instance reads back what is written.
  void limitsTheWriteRate() {
    Store store;
    for (uint64_t n = 1; n <= 5000; ++n)
      store.put(
          "servers/i-" + std::to_string(n),
          R"({"service":"s","address":"10.0.)" + std::to_string(n / 250) + "." +
              std::to_string(n % 250 + 1) +
              R"(:80","zone":"a","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"sequence":1})");
    WriterFixture one;
    int written = 0;
    for (int n = 0; n < 60; ++n) {
      store.server(static_cast<uint64_t>(n) + 1, "draining");
      one.read(store, Start + n * 1s);
      written += one.write(store, Start + n * 1s) ? 1 : 0;
    }
    expectTrue(written >= 5, std::to_string(written) + " in a minute");
    // A quarter of the written bytes is overhead of base64.
    expectTrue(one.Written * 3 / 4 <=
                   size_t{60} * DirectoryWriter::BytesPerSecond,
               std::to_string(one.Written) + " bytes in a minute");
  }

  // Guards against a write of the whole directory for a change in one zone, and
  // against servers that stay in it after the last of their zone has ended.
  void writesChangedPartsOnly() {
    Store store;
    store.server(1);
    store.put(
        "servers/i-2",
        R"({"service":"s","address":"10.0.0.2:80","zone":"b","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"sequence":1})");
    WriterFixture one;
    one.read(store, Start);
    one.write(store, Start + 2s);
    one.read(store, Start + 3s);
    int64_t revision = store.item("chicorybank/start/zones/b")->At.Revision;
    section("a change in one zone", [&] {
      store.server(1, "draining");
      one.read(store, Start + 10s);
      expectTrue(one.write(store, Start + 12s), "its part is written");
      expectEqual<int64_t>(
          revision, store.item("chicorybank/start/zones/b")->At.Revision);
    });
    section("the last server of a zone ends", [&] {
      store.remove("servers/i-2");
      one.read(store, Start + 20s);
      expectTrue(one.write(store, Start + 22s), "its part is written");
      auto bytes = store.item("chicorybank/start/zones/b")->Value;
      auto servers = decodeDirectory(bytes);
      expectTrue(servers && servers->Servers.empty(), "the part is empty");
      one.read(store, Start + 23s);
      expectTrue(one.Writer.nextAt(500ms) == Time::max(), "nothing is missing");
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryWriterTest);
