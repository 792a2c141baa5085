#include "chicorybank/edge/Compression.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;

class CompressionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompressionTest);
  CPPUNIT_TEST(restoresTheInput);
  CPPUNIT_TEST(refusesDamagedBytes);
  CPPUNIT_TEST(limitsTheOutput);
  CPPUNIT_TEST_SUITE_END();

  void restoresTheInput() {
    property("any bytes", [] {
      auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
      auto out = decompress(compress(bytes), bytes.size());
      RC_ASSERT(out.has_value());
      RC_ASSERT(*out == bytes);
    });
    std::string large(1'000'000, 'x');
    expectTrue(compress(large).size() < large.size() / 100,
               "repetitions are compressed");
    expectTrue(decompress(compress(large), large.size()) == large,
               "output of several steps");
  }

  void refusesDamagedBytes() {
    property("truncated, changed or extended bytes", [] {
      std::string bytes = compress("servers/i-1 servers/i-2");
      std::string cut = bytes.substr(0, bytes.size() - 1);
      RC_ASSERT(!decompress(cut, 100));
      RC_ASSERT(!decompress(bytes + "x", 100));
      auto at = *rc::gen::inRange<size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
      decompress(bytes, 100);
    });
    expectTrue(!decompress({}, 100), "empty input");
  }

  // Guards against a small message that exhausts the memory.
  void limitsTheOutput() {
    std::string bytes = compress(std::string(1'000'000, 'x'));
    expectTrue(!decompress(bytes, 999'999), "one byte above the limit");
    expectTrue(decompress(bytes, 1'000'000).has_value(), "at the limit");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompressionTest);
