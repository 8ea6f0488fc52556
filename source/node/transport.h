/// @file
/// Sends and receives frames between nodes over UDP and TCP.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>

#include "node/cut_filter.h"
#include "wire/wire.h"

namespace damaskledge::node {

/// Counters of the transport, for metrics.
struct transport_counters {
  std::atomic<std::uint64_t> datagrams_sent{0};
  std::atomic<std::uint64_t> datagrams_received{0};
  std::atomic<std::uint64_t> frames_sent{0};
  std::atomic<std::uint64_t> frames_received{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> dropped{0};
};

/// Frames over one UDP socket and TCP connections kept per peer. Thread-safe.
class transport {
 public:
  using receiver = std::function<void(const wire::incoming&)>;

  /// Binds the UDP socket and the TCP listener at `self`. Nothing is received before `start`, so
  /// that the receiver may use this object.
  /// @param secrets cluster secrets; the first one signs.
  /// @throws Poco::Net::NetException when a port can't be bound.
  transport(std::string name, endpoint self, std::vector<std::string> secrets,
            const cut_filter& cuts, receiver on_message);
  ~transport();
  transport(const transport&) = delete;
  transport& operator=(const transport&) = delete;

  /// Starts to receive; called once.
  void start();
  /// Sends without blocking on the network. Stream messages to one peer keep their order or
  /// are lost together with the connection.
  void send(const wire::outgoing& what);
  void send(const std::vector<wire::outgoing>& messages);
  void stop();

  const transport_counters& counters() const { return counters_; }

 private:
  struct stream_job {
    endpoint to;
    std::string frame;
  };
  struct stream_sender;

  void receive_datagrams();
  void deliver(std::string_view frame, const std::string& source);
  friend class frame_connection;

  std::string name_;
  endpoint self_;
  std::vector<std::string> secrets_;
  const cut_filter& cuts_;
  receiver on_message_;
  transport_counters counters_;
  std::atomic<bool> stopping_{false};
  Poco::Net::DatagramSocket datagram_socket_;
  std::unique_ptr<Poco::Net::TCPServer> listener_;
  std::vector<std::unique_ptr<stream_sender>> senders_;
  std::thread datagram_thread_;
};

} // namespace damaskledge::node
