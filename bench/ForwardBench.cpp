// Compares the packets per second of one chicoryd with those of a bare
// recvmmsg/sendmmsg relay.
//
//   build/bench-forward --daemon build/chicoryd --settings FILE ...
//
// One thread generates the load: packets of established flows, with a bounded
// number in flight. Both programs get the same load, one after the other.
// `tools/bench-forward` starts all processes that this needs.

#include "chicorybank/base/Socket.h"
#include "chicorybank/packet/Packet.h"

#include <CLI/CLI.hpp>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace {

using namespace chicory;
using Clock = std::chrono::steady_clock;

constexpr size_t BatchSize = 64;
constexpr size_t MaxDatagramBytes = 2048;

/// Buffers for recvmmsg and sendmmsg.
struct MessageBatch {
  MessageBatch() {
    for (size_t i = 0; i < BatchSize; ++i) {
      Vectors[i] = {.iov_base = Bytes[i].data(), .iov_len = MaxDatagramBytes};
      Headers[i].msg_hdr.msg_iov = &Vectors[i];
      Headers[i].msg_hdr.msg_iovlen = 1;
      Headers[i].msg_hdr.msg_name = &Addresses[i];
      Headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
  }
  std::array<std::array<char, MaxDatagramBytes>, BatchSize> Bytes{};
  std::array<iovec, BatchSize> Vectors{};
  std::array<sockaddr_in, BatchSize> Addresses{};
  std::array<mmsghdr, BatchSize> Headers{};
};

/// Forwards all datagrams to one address until `stop` is set. Returns the CPU
/// seconds used.
double relay(const FileDescriptor &socket, Address to,
             const std::atomic<bool> &stop) {
  MessageBatch buf;
  pollfd waiting{.fd = socket.get(), .events = POLLIN};
  while (!stop) {
    for (size_t i = 0; i < BatchSize; ++i)
      buf.Vectors[i].iov_len = MaxDatagramBytes;
    int n = ::recvmmsg(socket.get(), buf.Headers.data(), BatchSize, 0, nullptr);
    if (n <= 0) {
      ::poll(&waiting, 1, 10);
      continue;
    }
    for (int i = 0; i < n; ++i) {
      buf.Vectors[i].iov_len = buf.Headers[i].msg_len;
      buf.Addresses[i] = toSockaddr(to);
      buf.Headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    ::sendmmsg(socket.get(), buf.Headers.data(), static_cast<unsigned>(n), 0);
  }
  timespec used{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) +
         static_cast<double>(used.tv_nsec) * 1e-9;
}

/// Returns the CPU seconds that a process has used, from /proc/PID/stat.
double processorSeconds(int pid) {
  std::FILE *file =
      std::fopen(("/proc/" + std::to_string(pid) + "/stat").c_str(), "r");
  if (file == nullptr)
    return 0;
  std::array<char, 1024> line{};
  size_t n = std::fread(line.data(), 1, line.size() - 1, file);
  std::fclose(file);
  std::string text(line.data(), n);
  unsigned long user = 0;
  unsigned long system = 0;
  std::sscanf(text.c_str() + text.rfind(')') + 2,
              "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
              &system);
  return static_cast<double>(user + system) /
         static_cast<double>(::sysconf(_SC_CLK_TCK));
}

FlowKey flow(uint32_t n) {
  return {.Source = {.Ip = 0x0ac80001, .Port = static_cast<uint16_t>(1000 + n)},
          .Destination = {.Ip = 0x0a010001, .Port = 443},
          .Protocol = 17};
}

std::vector<QByteArray> datagrams(PacketKind kind, uint32_t flows) {
  std::vector<QByteArray> out;
  for (uint32_t i = 0; i < flows; ++i)
    out.push_back(encodePacket(
        {.Kind = kind, .Flow = flow(i), .Payload = QByteArray(200, 'x')}));
  return out;
}

/// Sends packets while at most `Window` are in flight. Returns the number that
/// arrives at `sink`.
uint64_t sendLoad(const FileDescriptor &source, const FileDescriptor &sink,
                  Address to, const std::vector<QByteArray> &packets,
                  std::chrono::seconds length) {
  constexpr int64_t Window = 2048;
  MessageBatch in;
  MessageBatch out;
  uint64_t sent = 0;
  uint64_t arrived = 0;
  uint64_t sentMinusLost = 0;
  Clock::time_point end = Clock::now() + length;
  Clock::time_point lastArrival = Clock::now();
  size_t next = 0;
  while (Clock::now() < end) {
    int n = ::recvmmsg(sink.get(), in.Headers.data(), BatchSize, 0, nullptr);
    if (n > 0) {
      arrived += static_cast<uint64_t>(n);
      lastArrival = Clock::now();
    }
    // Lost packets would occupy the window forever. After 20 ms without an
    // arrival, all packets in flight count as lost.
    if (Clock::now() - lastArrival > std::chrono::milliseconds(20)) {
      sentMinusLost = arrived;
      lastArrival = Clock::now();
    }
    if (static_cast<int64_t>(sentMinusLost - arrived) > Window)
      continue;
    for (size_t i = 0; i < BatchSize; ++i) {
      const QByteArray &it = packets[next++ % packets.size()];
      out.Vectors[i] = {.iov_base = const_cast<char *>(it.constData()),
                        .iov_len = static_cast<size_t>(it.size())};
      out.Addresses[i] = toSockaddr(to);
    }
    int done = ::sendmmsg(source.get(), out.Headers.data(), BatchSize, 0);
    if (done > 0) {
      sent += static_cast<uint64_t>(done);
      sentMinusLost += static_cast<uint64_t>(done);
    }
  }
  return arrived;
}

void print(const char *name, uint64_t packets, double wall, double cpu) {
  auto count = static_cast<double>(packets);
  std::printf("%s packets_per_s=%.0f cpu_s=%.2f packets_per_core_s=%.0f\n",
              name, count / wall, cpu, count / cpu);
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Compares packets per second with those of a bare relay.");
  std::string daemonAt;
  std::string sinkAt;
  int pid = 0;
  int seconds = 5;
  uint32_t flows = 1000;
  app.add_option("--daemon-at", daemonAt,
                 "IP:port that chicoryd receives packets on")
      ->required();
  app.add_option("--sink-at", sinkAt, "IP:port of the only target of chicoryd")
      ->required();
  app.add_option("--pid", pid, "Process id of chicoryd")->required();
  app.add_option("--seconds", seconds,
                 "Length of each of the two measurements");
  CLI11_PARSE(app, argc, argv);
  auto to = parseAddress(daemonAt);
  auto sinkAddress = parseAddress(sinkAt);
  if (!to || !sinkAddress)
    return 2;
  auto sink = bindUdp(*sinkAddress);
  auto source = bindUdp({.Ip = 0x7f000001, .Port = 0});
  auto relaySocket = bindUdp({.Ip = 0x7f000001, .Port = 0});
  if (!sink || !source || !relaySocket)
    return 1;
  std::chrono::seconds length(seconds);
  std::vector<QByteArray> opens = datagrams(PacketKind::Open, flows);
  std::vector<QByteArray> data = datagrams(PacketKind::Data, flows);
  sendLoad(*source, *sink, *to, opens, std::chrono::seconds(1));
  double before = processorSeconds(pid);
  uint64_t forwarded = sendLoad(*source, *sink, *to, data, length);
  double daemonCpu = processorSeconds(pid) - before;
  std::atomic<bool> stop = false;
  double relayCpu = 0;
  std::thread worker(
      [&] { relayCpu = relay(*relaySocket, *sinkAddress, stop); });
  uint64_t relayed =
      sendLoad(*source, *sink, boundAddress(*relaySocket), data, length);
  stop = true;
  worker.join();
  print("relay", relayed, seconds, relayCpu);
  print("chicoryd", forwarded, seconds, daemonCpu);
  std::printf("ratio_per_core=%.2f\n",
              (static_cast<double>(forwarded) / daemonCpu) /
                  (static_cast<double>(relayed) / relayCpu));
  return 0;
}
