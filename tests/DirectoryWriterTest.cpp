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
  Mirror Copy{Dialect};
  DirectoryWriter Writer{Dialect};
  DirectoryNote Stored;
  Findings Faults;

  void read(const Store &store, Time now) {
    Copy.replaceAll(store.list(), Faults);
    if (const Item *note = store.item("chicorybank/start/note")) {
      News news = Dialect.translate(*note, Faults);
      Stored = std::get<DirectoryNote>(news);
    }
    Writer.learn(Copy, Stored, now);
  }
  /// Makes the write that is due; false where none is.
  bool write(Store &store, Time now) {
    if (!Writer.next(Copy, 500ms, now))
      return false;
    store.put("chicorybank/start/note",
              std::to_string(Copy.registrationsDigest()));
    store.put("chicorybank/start/servers",
              encodeDirectory(Copy.registrations()));
    Writer.answered({.Status = Ok}, now);
    return true;
  }
};

} // namespace

class DirectoryWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryWriterTest);
  CPPUNIT_TEST(writesWhatIsMissing);
  CPPUNIT_TEST(writesNothingForRenewals);
  CPPUNIT_TEST(writesSeldomWhereItIsLarge);
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
      auto bytes = store.item("chicorybank/start/servers")->Value;
      auto servers = decodeDirectory(bytes);
      expectTrue(servers && servers->at(0).Draining, "as it is now");
    });
    section("a late write of a former first in line", [&] {
      one.read(store, Start + 13s);
      store.put("chicorybank/start/note", "1");
      one.read(store, Start + 14s);
      expectTrue(one.write(store, Start + 16s), "does not stay");
    });
    section("its write holds only where nobody else has written", [&] {
      RegistryCall call = one.Dialect.writeDirectory(
          {.Digest = 5, .At = {.Revision = 77}}, "x");
      expectTrue(
          call.Body.find(
              R"("expect":[{"key":"chicorybank/start/note","revision":77}])") !=
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

  // Pattern: at 5,000 servers some register or end every second. Grounds: a
  // directory is 180 kB, which whoever watches reads back.
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
    expectTrue(written >= 5 && written <= 8,
               std::to_string(written) + " in a minute");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryWriterTest);
