#include "failure/process.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace damaskledge::failure {

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log, const std::string& errors) {
  std::vector<std::string> words{program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& it : words) {
    argv.push_back(it.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (errors.empty()) {
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  } else {
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errors.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  }
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  const int ec = posix_spawn(&id_, program.c_str(), &actions, &attributes, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  if (ec != 0) {
    throw std::runtime_error("can't start " + program + "; build it first");
  }
}

child_process::~child_process() {
  if (id_ > 0 && running()) {
    signal(SIGCONT);
    signal(SIGKILL);
    wait(milliseconds(5'000));
  }
}

child_process::child_process(child_process&& other) noexcept
    : id_(std::exchange(other.id_, -1)), status_(other.status_) {}

child_process& child_process::operator=(child_process&& other) noexcept {
  std::swap(id_, other.id_);
  std::swap(status_, other.status_);
  return *this;
}

void child_process::signal(int number) const {
  if (id_ > 0 && !status_) {
    ::kill(id_, number);
  }
}

std::optional<int> child_process::wait(milliseconds limit) {
  const time_point end = clock_type::now() + limit;
  while (!status_) {
    int status = 0;
    const pid_t ended = ::waitpid(id_, &status, WNOHANG);
    if (ended == id_) {
      status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    } else if (clock_type::now() >= end) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  return status_;
}

bool child_process::running() {
  return id_ > 0 && !wait(milliseconds(0)).has_value();
}

std::string program_folder() {
  const char* folder = std::getenv("DAMASKLEDGE_BIN");
  return folder != nullptr ? folder : DAMASKLEDGE_BIN_FOLDER;
}

std::string make_test_folder(const std::string& name) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / ("damaskledge-" + name + "-XXXXXX")).string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("can't make a folder for temporary files; check the free space");
  }
  return pattern;
}

std::string http_answer::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

namespace {

http_answer exchange_on(Poco::Net::HTTPClientSession& session, const http_request& request,
                        bool keep_alive) {
  http_answer result;
  session.setTimeout(Poco::Timespan(request.timeout.count() * 1'000));
  session.setKeepAlive(keep_alive);
  Poco::Net::HTTPRequest head(request.method, request.target, "HTTP/1.1");
  head.setKeepAlive(keep_alive);
  for (const auto& [name, value] : request.headers) {
    head.set(name, value);
  }
  if (!request.body.empty() || request.method != "GET") {
    head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
  }
  session.sendRequest(head) << request.body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& in = session.receiveResponse(response);
  Poco::StreamCopier::copyToString(in, result.body);
  if (response.hasContentLength() &&
      response.getContentLength64() != static_cast<Poco::Int64>(result.body.size())) {
    return {};
  }
  for (const auto& [name, value] : response) {
    result.headers[name] = value;
  }
  result.status = response.getStatus();
  return result;
}

} // namespace

http_answer exchange(const endpoint& to, const http_request& request) {
  try {
    Poco::Net::HTTPClientSession session(to.address, to.port);
    return exchange_on(session, request, false);
  } catch (const Poco::Net::ConnectionRefusedException&) {
    http_answer result;
    result.connect_failed = true;
    return result;
  } catch (const Poco::Exception&) {
    return {};
  }
}

kept_connection::kept_connection(endpoint to) : to_(std::move(to)) {}
kept_connection::~kept_connection() = default;
kept_connection::kept_connection(kept_connection&&) noexcept = default;

http_answer kept_connection::exchange(const http_request& request) {
  try {
    if (!session_) {
      session_ = std::make_unique<Poco::Net::HTTPClientSession>(to_.address, to_.port);
      // Otherwise the session itself reconnects after 8 s without a request.
      session_->setKeepAliveTimeout(Poco::Timespan(600, 0));
      ++opened_;
    }
    const http_answer result = exchange_on(*session_, request, true);
    const auto closes = result.headers.find("Connection");
    if (result.status == 0 || (closes != result.headers.end() && closes->second == "Close")) {
      session_.reset();
    }
    return result;
  } catch (const Poco::Net::ConnectionRefusedException&) {
    session_.reset();
    http_answer result;
    result.connect_failed = true;
    return result;
  } catch (const Poco::Exception&) {
    session_.reset();
    return {};
  }
}

std::string send_raw(const endpoint& to, const std::string& bytes, milliseconds limit,
                     after_sending then) {
  std::string result;
  const time_point end = clock_type::now() + limit;
  try {
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(to.address, to.port));
    socket.setSendTimeout(Poco::Timespan(limit.count() * 1'000));
    std::size_t sent = 0;
    while (sent < bytes.size() && clock_type::now() < end) {
      sent += static_cast<std::size_t>(
          socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
    }
    if (then == after_sending::close_output) {
      socket.shutdownSend();
    }
    std::array<char, 4'096> buf{};
    while (clock_type::now() < end) {
      const auto left =
          std::chrono::duration_cast<std::chrono::microseconds>(end - clock_type::now());
      socket.setReceiveTimeout(Poco::Timespan(std::max<std::int64_t>(left.count(), 1'000)));
      const int n = socket.receiveBytes(buf.data(), buf.size());
      if (n <= 0) {
        break;
      }
      result.append(buf.data(), static_cast<std::size_t>(n));
    }
  } catch (const Poco::Exception&) {
    // A reset or a timeout ends the exchange; what came before it counts.
    return result;
  }
  return result;
}

bool wait_until(const std::function<bool()>& condition, milliseconds limit) {
  const time_point end = clock_type::now() + limit;
  while (!condition()) {
    if (clock_type::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

void write_file(const std::string& path, const std::string& content) {
  // Readers must see the old file or the new one, never a part.
  const std::string next = path + ".next";
  std::ofstream(next, std::ios::trunc) << content;
  std::filesystem::rename(next, path);
}

std::string read_text(const std::string& path) {
  std::ifstream in(path);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

} // namespace damaskledge::failure
