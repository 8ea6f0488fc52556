#include "node/transport.h"

#include <array>
#include <utility>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>
#include <glog/logging.h>

namespace damaskledge::node {

namespace {

constexpr std::size_t sender_threads = 4;
constexpr std::size_t max_queued_frames = 4'096;
constexpr int max_peer_connections = 256;
constexpr int connection_stack_bytes = 131'072;
const Poco::Timespan connect_timeout(0, 300'000);
const Poco::Timespan send_timeout(1, 0);
const Poco::Timespan frame_timeout(5, 0);
/// A peer that refused a connection is not tried again for this time, so that one dead peer
/// does not hold up the frames of the others that share its sender thread.
constexpr milliseconds connect_pause{500};

Poco::Net::SocketAddress to_address(const endpoint& value) {
  return {value.address, value.port};
}

/// @return false when the peer closed the connection.
bool receive_exactly(Poco::Net::StreamSocket& socket, char* data, std::size_t length) {
  std::size_t received = 0;
  while (received < length) {
    const int n = socket.receiveBytes(data + received, static_cast<int>(length - received));
    if (n <= 0) {
      return false;
    }
    received += static_cast<std::size_t>(n);
  }
  return true;
}

void send_exactly(Poco::Net::StreamSocket& socket, std::string_view data) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    const int n = socket.sendBytes(data.data() + sent, static_cast<int>(data.size() - sent));
    if (n <= 0) {
      throw Poco::Net::ConnectionResetException("send returned no progress");
    }
    sent += static_cast<std::size_t>(n);
  }
}

} // namespace

/// Reads frames from one accepted connection.
class frame_connection : public Poco::Net::TCPServerConnection {
 public:
  frame_connection(const Poco::Net::StreamSocket& socket, transport& owner)
      : TCPServerConnection(socket), owner_(owner) {}

  void run() override {
    try {
      read_frames();
    } catch (const Poco::Exception& error) {
      VLOG(1) << "event=peer-connection-ended cause=\"" << error.displayText() << '"';
    }
  }

 private:
  void read_frames() {
    const std::string source = socket().peerAddress().host().toString();
    std::string frame;
    while (!owner_.stopping_) {
      // An idle connection stays open; only a frame that has begun must go on.
      if (!socket().poll(Poco::Timespan(1, 0), Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      socket().setReceiveTimeout(frame_timeout);
      frame.resize(wire::frame_header_bytes);
      if (!receive_exactly(socket(), frame.data(), frame.size())) {
        return;
      }
      const auto length = wire::payload_length(frame);
      if (!length) {
        owner_.counters_.dropped.fetch_add(1);
        return;
      }
      frame.resize(wire::frame_header_bytes + *length);
      if (!receive_exactly(socket(), frame.data() + wire::frame_header_bytes, *length)) {
        return;
      }
      owner_.counters_.frames_received.fetch_add(1);
      owner_.deliver(frame, source);
    }
  }

  transport& owner_;
};

namespace {

class frame_connection_factory : public Poco::Net::TCPServerConnectionFactory {
 public:
  explicit frame_connection_factory(transport& owner) : owner_(owner) {}

  Poco::Net::TCPServerConnection*
  createConnection(const Poco::Net::StreamSocket& socket) override { // NOLINT
    return new frame_connection(socket, owner_);
  }

 private:
  transport& owner_;
};

/// Threads of accepted peer connections; they outlive a transport until the process ends.
Poco::ThreadPool& peer_threads() {
  static Poco::ThreadPool pool(2, max_peer_connections, 60, connection_stack_bytes);
  return pool;
}

} // namespace

/// One thread that sends the stream frames of the peers assigned to it.
struct transport::stream_sender {
  explicit stream_sender(transport& owner) : owner_(owner), thread_([this] { run(); }) {}

  ~stream_sender() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
  }

  void push(stream_job job) {
    {
      const std::lock_guard lock(mutex_);
      if (jobs_.size() >= max_queued_frames) {
        owner_.counters_.dropped.fetch_add(1);
        return;
      }
      jobs_.push_back(std::move(job));
    }
    wake_.notify_one();
  }

 private:
  struct peer_row {
    std::unique_ptr<Poco::Net::StreamSocket> socket;
    time_point paused_until{};
  };

  void run() {
    std::unique_lock lock(mutex_);
    while (true) {
      wake_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (stopping_) {
        return;
      }
      const stream_job job = std::move(jobs_.front());
      jobs_.pop_front();
      lock.unlock();
      send_job(job);
      lock.lock();
    }
  }

  void send_job(const stream_job& job) {
    peer_row& peer = peers_[job.to];
    const bool kept = peer.socket != nullptr;
    if (try_send(peer, job)) {
      return;
    }
    // A kept connection may have been closed by a restarted peer; a fresh one decides.
    if (kept && try_send(peer, job)) {
      return;
    }
    owner_.counters_.dropped.fetch_add(1);
  }

  bool try_send(peer_row& peer, const stream_job& job) {
    if (owner_.cuts_.drops(job.to.address)) {
      peer.socket.reset();
      return false;
    }
    try {
      if (peer.socket && closed_by_peer(*peer.socket)) {
        peer.socket.reset();
      }
      if (!peer.socket) {
        connect(peer, job.to);
      }
      if (!peer.socket) {
        return false;
      }
      send_exactly(*peer.socket, job.frame);
      owner_.counters_.frames_sent.fetch_add(1);
      owner_.counters_.bytes_sent.fetch_add(job.frame.size());
      return true;
    } catch (const Poco::Exception& error) {
      VLOG(1) << "event=peer-send-failed peer=" << to_string(job.to) << " cause=\""
              << error.displayText() << '"';
      peer.socket.reset();
      return false;
    }
  }

  static bool closed_by_peer(Poco::Net::StreamSocket& socket) {
    // Peers never answer on this connection, so a readable socket has been closed.
    return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  }

  static void connect(peer_row& peer, const endpoint& to) {
    const time_point now = clock_type::now();
    if (now < peer.paused_until) {
      return;
    }
    peer.paused_until = now + connect_pause;
    auto socket = std::make_unique<Poco::Net::StreamSocket>();
    socket->connect(to_address(to), connect_timeout);
    socket->setNoDelay(true);
    socket->setSendTimeout(send_timeout);
    peer.socket = std::move(socket);
    peer.paused_until = time_point{};
  }

  transport& owner_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<stream_job> jobs_;
  std::map<endpoint, peer_row> peers_;
  bool stopping_ = false;
  std::thread thread_;
};

transport::transport(std::string name, endpoint self, std::vector<std::string> secrets,
                     const cut_filter& cuts, receiver on_message)
    : name_(std::move(name)), self_(std::move(self)), secrets_(std::move(secrets)), cuts_(cuts),
      on_message_(std::move(on_message)), datagram_socket_(to_address(self_), true) {
  for (std::size_t it = 0; it < sender_threads; ++it) {
    senders_.push_back(std::make_unique<stream_sender>(*this));
  }
  Poco::Net::ServerSocket socket(to_address(self_), max_peer_connections);
  auto* params = new Poco::Net::TCPServerParams;
  params->setMaxThreads(max_peer_connections);
  listener_ = std::make_unique<Poco::Net::TCPServer>(new frame_connection_factory(*this),
                                                     peer_threads(), socket, params);
}

void transport::start() {
  listener_->start();
  datagram_thread_ = std::thread([this] { receive_datagrams(); });
}

transport::~transport() {
  stop();
}

void transport::stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  listener_->stop();
  if (datagram_thread_.joinable()) {
    datagram_thread_.join();
  }
  senders_.clear();
  while (listener_->currentConnections() > 0) {
    std::this_thread::sleep_for(milliseconds(20));
  }
}

void transport::send(const std::vector<wire::outgoing>& messages) {
  for (const wire::outgoing& it : messages) {
    send(it);
  }
}

void transport::send(const wire::outgoing& what) {
  if (stopping_ || cuts_.drops(what.to.address)) {
    return;
  }
  std::string frame = wire::encode(secrets_.front(), name_, self_, what.body);
  if (what.by == wire::transport::stream || frame.size() > wire::max_datagram_bytes) {
    const std::size_t which = std::hash<std::string>{}(to_string(what.to)) % senders_.size();
    senders_[which]->push({what.to, std::move(frame)});
    return;
  }
  try {
    datagram_socket_.sendTo(frame.data(), static_cast<int>(frame.size()), to_address(what.to));
    counters_.datagrams_sent.fetch_add(1);
    counters_.bytes_sent.fetch_add(frame.size());
  } catch (const Poco::Exception& error) {
    counters_.dropped.fetch_add(1);
    VLOG(1) << "event=datagram-send-failed peer=" << to_string(what.to) << " cause=\""
            << error.displayText() << '"';
  }
}

void transport::receive_datagrams() {
  std::array<char, wire::max_datagram_bytes + 1> buf{};
  while (!stopping_) {
    try {
      if (!datagram_socket_.poll(Poco::Timespan(0, 200'000), Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      Poco::Net::SocketAddress source;
      const int n = datagram_socket_.receiveFrom(buf.data(), static_cast<int>(buf.size()), source);
      counters_.datagrams_received.fetch_add(1);
      deliver({buf.data(), static_cast<std::size_t>(n)}, source.host().toString());
    } catch (const Poco::Exception& error) {
      // ICMP errors of earlier sends surface here; the socket stays usable.
      VLOG(1) << "event=datagram-receive-failed cause=\"" << error.displayText() << '"';
    }
  }
}

void transport::deliver(std::string_view frame, const std::string& source) {
  counters_.bytes_received.fetch_add(frame.size());
  if (stopping_ || cuts_.drops(source)) {
    return;
  }
  auto decoded = leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<wire::incoming>> {
        BOOST_LEAF_AUTO(value, wire::decode(secrets_, frame));
        return std::optional<wire::incoming>(std::move(value));
      },
      [&](wire::frame_error error) -> std::optional<wire::incoming> {
        LOG_EVERY_N(WARNING, 100) << "event=frame-dropped source=" << source << " cause=\""
                                  << wire::to_string(error) << '"';
        return std::nullopt;
      },
      [] { return std::optional<wire::incoming>(); });
  if (!decoded) {
    counters_.dropped.fetch_add(1);
    return;
  }
  if (cuts_.drops(decoded->from.address)) {
    return;
  }
  on_message_(*decoded);
}

} // namespace damaskledge::node
