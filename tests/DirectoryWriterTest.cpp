// Who writes the directory, when, and what.

#include "chicorybank/edge/DirectoryWriter.h"

#include "chicorybank/edge/Directory.h"

#include "RegistrySamples.h"
#include "Story.h"

using namespace story;
using namespace samples::registry;

namespace {

/// An instance's copy, and its writer.
struct Writing {
  platform::StoreDialect Dialect;
  RegistryCache Copy{Dialect};
  DirectoryWriter Writer{Dialect};
  DirectorySummary Stored;
  Findings Faults;
  /// Bytes of all calls.
  size_t Written = 0;

  void read(const Store &store, Time now) {
    Copy.replaceAll(store.list(), Faults);
    if (const Item *note = store.item("chicorybank/start/digests")) {
      ItemContent news = Dialect.translate(*note, Faults);
      Stored = std::get<DirectorySummary>(news);
    }
    Writer.learn(Copy, Stored, now);
  }
  /// Makes the write that is due; false where none is.
  bool write(Store &store, Time now) {
    auto call = Writer.next(Copy, 500ms, now);
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
  CPPUNIT_TEST(writesWhatIsMissing);
  CPPUNIT_TEST(writesNothingForRenewals);
  CPPUNIT_TEST(writesSeldomWhereItIsLarge);
  CPPUNIT_TEST(writesThePartsThatChanged);
  CPPUNIT_TEST_SUITE_END();

  void writesWhatIsMissing() {
    Store store;
    store.server(1);
    Writing one;
    one.read(store, Start);
    expectTrue(!one.write(store, Start + 1s), "the first in line waits");
    expectTrue(one.write(store, Start + 2s), "and writes");
    one.read(store, Start + 3s);
    expectTrue(one.Writer.nextAt(500ms) == Time::max(), "nothing is missing");
    section("a server drains", [&] {
      store.server(1, "draining");
      one.read(store, Start + 10s);
      expectTrue(one.write(store, Start + 12s), "it is written again");
      auto bytes = store.item("chicorybank/start/zones/a")->Value;
      auto servers = decodeDirectory(bytes);
      expectTrue(servers && servers->Servers.at(0).Draining, "as it is now");
    });
    section("a late write of a former first in line", [&] {
      one.read(store, Start + 13s);
      store.put("chicorybank/start/digests", R"({"a":1})");
      one.read(store, Start + 14s);
      expectTrue(one.write(store, Start + 16s), "does not stay");
    });
    section("its write holds only where nobody else has written", [&] {
      RegistryCall call = one.Dialect.writeDirectory(
          {.Digests = {{"a", 5}}, .At = {.Revision = 77}}, {{"a", "x"}});
      expectTrue(
          call.Body.find(
              R"("expect":[{"key":"chicorybank/start/digests","revision":77}])") !=
              std::string::npos,
          call.Body);
    });
  }

  // Pattern: 600 servers renew their registrations 500 times a second.
  void writesNothingForRenewals() {
    Store store;
    store.server(1);
    Writing one;
    one.read(store, Start);
    one.write(store, Start + 2s);
    for (int n = 0; n < 100; ++n) {
      store.server(1, "ready", n);
      one.read(store, Start + 3s + n * 100ms);
      expectTrue(!one.write(store, Start + 3s + n * 100ms), "no change");
    }
  }

  // Pattern: at 5,000 servers some register or end every second. Whoever
  // watches reads back what is written.
  void writesSeldomWhereItIsLarge() {
    Store store;
    for (uint64_t n = 1; n <= 5000; ++n)
      store.put("servers/i-" + std::to_string(n),
                R"({"service":"s","address":"10.0.)" + std::to_string(n / 250) +
                    "." + std::to_string(n % 250 + 1) +
                    R"(:80","zone":"a","slots":2,"state":"ready"})");
    Writing one;
    int written = 0;
    for (int n = 0; n < 60; ++n) {
      store.server(static_cast<uint64_t>(n) + 1, "draining");
      one.read(store, Start + n * 1s);
      written += one.write(store, Start + n * 1s) ? 1 : 0;
    }
    expectTrue(written >= 5, std::to_string(written) + " in a minute");
    // Of the bytes that it has written, a quarter is base64.
    expectTrue(one.Written * 3 / 4 <=
                   size_t{60} * DirectoryWriter::BytesPerSecond,
               std::to_string(one.Written) + " bytes in a minute");
  }

  // Guards against a directory that is written whole for a change in one zone,
  // and against servers that stay in it after the last of their zone has ended.
  void writesThePartsThatChanged() {
    Store store;
    store.server(1);
    store.put(
        "servers/i-2",
        R"({"service":"s","address":"10.0.0.2:80","zone":"b","slots":2,"state":"ready"})");
    Writing one;
    one.read(store, Start);
    one.write(store, Start + 2s);
    one.read(store, Start + 3s);
    int64_t revision = store.item("chicorybank/start/zones/b")->At.Revision;
    section("a change in one zone", [&] {
      store.server(1, "draining");
      one.read(store, Start + 10s);
      expectTrue(one.write(store, Start + 12s), "is written");
      expectEqual<int64_t>(
          revision, store.item("chicorybank/start/zones/b")->At.Revision);
    });
    section("a zone's last server ends", [&] {
      store.remove("servers/i-2");
      one.read(store, Start + 20s);
      expectTrue(one.write(store, Start + 22s), "it is written");
      auto bytes = store.item("chicorybank/start/zones/b")->Value;
      auto servers = decodeDirectory(bytes);
      expectTrue(servers && servers->Servers.empty(), "nothing is left of it");
      one.read(store, Start + 23s);
      expectTrue(one.Writer.nextAt(500ms) == Time::max(), "nothing is missing");
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryWriterTest);
