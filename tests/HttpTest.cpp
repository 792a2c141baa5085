// Tests the edge's HTTP client against a slow server.

#include "edge/Http.h"

#include "Story.h"

#include <httplib.h>
#include <thread>

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t Loopback = 0x7f000001;
constexpr size_t Pieces = 8;
constexpr Duration PieceInterval = 100ms;

/// Sends a response piece by piece, or stalls after the first piece.
class SlowServer {
public:
  SlowServer() {
    Http.Get("/slow",
             [](const auto &, auto &response) { send(response, Pieces); });
    Http.Get("/stuck", [](const auto &, auto &response) { send(response, 1); });
    Port = static_cast<uint16_t>(Http.bind_to_any_port("127.0.0.1"));
    Worker = std::thread([this] { Http.listen_after_bind(); });
    while (!Http.is_running())
      std::this_thread::sleep_for(1ms);
  }
  ~SlowServer() {
    Http.stop();
    Worker.join();
  }
  uint16_t Port = 0;

private:
  static void send(httplib::Response &response, size_t pieces) {
    response.set_content_provider(
        Pieces, "text/plain",
        [pieces](size_t offset, size_t, httplib::DataSink &sink) {
          std::this_thread::sleep_for(offset < pieces ? PieceInterval : 1s);
          return sink.write("x", 1);
        });
  }
  httplib::Server Http;
  std::thread Worker;
};

HttpClient::Result call(uint16_t port, const HttpRequest &what) {
  EventLoop loop;
  HttpClient client(loop, Loopback, {.Ip = Loopback, .Port = port});
  std::optional<HttpClient::Result> out;
  client.call(what, [&](HttpClient::Result it) { out = std::move(it); });
  while (!out) {
    loop.wait(10ms);
    client.expire(steadyNow());
  }
  return std::move(*out);
}

} // namespace

class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(keepsWaitingWhileDataArrives);
  CPPUNIT_TEST_SUITE_END();

  // Guards against wasted bandwidth: while hundreds of instances share a link,
  // clients that abandon large responses and request them again fill it with
  // data that nobody uses.
  void keepsWaitingWhileDataArrives() {
    SlowServer server;
    HttpRequest whole{.Target = "/slow", .Timeout = 400ms};
    auto late = call(server.Port, whole);
    expectTrue(!late && late.error() == HttpFailure::TimedOut,
               "a timeout of the whole response ends the call");
    whole.ExtendTimeoutOnData = true;
    auto slow = call(server.Port, whole);
    expectTrue(slow && slow->Body.size() == Pieces, "data extends the timeout");
    auto stuck = call(
        server.Port,
        {.Target = "/stuck", .Timeout = 400ms, .ExtendTimeoutOnData = true});
    expectTrue(!stuck && stuck.error() == HttpFailure::TimedOut,
               "until no more data arrives");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);
