#include "node/node.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <glog/logging.h>

#include "node/control_plane.h"
#include "node/cut_filter.h"
#include "node/dispatcher.h"
#include "node/http_front.h"
#include "node/reporter.h"
#include "node/request_path.h"
#include "node/upstream_client.h"

namespace damaskledge::node {

namespace {

constexpr milliseconds housekeeping_period{100};
/// Time in which callers on idle connections learn by an answer that this node is leaving.
constexpr milliseconds drain_linger{2'000};
/// Time for the news that this node has left to go out.
constexpr milliseconds left_linger{100};

routing::settings routing_settings(const config::node_settings& settings) {
  routing::settings result;
  result.mode = settings.policy == "fixed"  ? routing::policy::fixed
                : settings.policy == "none" ? routing::policy::none
                                            : routing::policy::chosen;
  result.cold_limit = settings.cold_limit;
  result.fixed_limit = settings.fixed_limit;
  result.slot_headroom = settings.slot_headroom;
  return result;
}

routing::queue_settings queue_settings(const config::node_settings& settings) {
  routing::queue_settings result;
  result.max_length = settings.max_queue_per_service;
  result.max_wait = settings.queue_wait;
  return result;
}

admission::shed_settings shed_settings(const config::node_settings& settings) {
  admission::shed_settings result;
  result.fairness = settings.objective == "fairness";
  return result;
}

} // namespace

class server::implementation {
 public:
  explicit implementation(config::node_settings settings)
      : settings_(std::move(settings)), cuts_(settings_.test_cut_file),
        routes_(routing_settings(settings_), queue_settings(settings_), shed_settings(settings_),
                settings_.name, settings_.data_centre, hash64(settings_.name)),
        crashes_({}), client_(cuts_), reports_(settings_),
        control_(settings_, cuts_, routes_, crashes_),
        path_(settings_, control_, routes_, crashes_, client_, reports_), state_{settings_,
                                                                                 control_, routes_,
                                                                                 path_, reports_} {}

  void run() {
    control_.start();
    http_front front(state_);
    LOG(INFO) << "event=started node=" << settings_.name << " data_centre=" << settings_.data_centre
              << " address=" << settings_.address;
    wait_for_stop();
    drain(front);
    control_.announce_left();
    std::this_thread::sleep_for(left_linger);
    front.stop();
    control_.stop();
    LOG(INFO) << "event=stopped node=" << settings_.name;
  }

  void request_stop() {
    {
      const std::lock_guard lock(mutex_);
      stop_requested_ = true;
    }
    wake_.notify_all();
  }

 private:
  void housekeeping() {
    const time_point now = clock_type::now();
    client_.tick(now);
    path_.tick(now);
  }

  void wait_for_stop() {
    std::unique_lock lock(mutex_);
    while (!stop_requested_) {
      wake_.wait_for(lock, housekeeping_period);
      lock.unlock();
      housekeeping();
      lock.lock();
    }
  }

  void drain(const http_front& front) {
    LOG(INFO) << "event=draining node=" << settings_.name;
    state_.draining = true;
    control_.start_draining();
    const time_point start = clock_type::now();
    while (clock_type::now() - start < settings_.drain_timeout) {
      const bool lingered = clock_type::now() - start >= drain_linger;
      const bool idle = state_.in_flight == 0;
      if (idle && (lingered || front.connections() == 0)) {
        return;
      }
      std::this_thread::sleep_for(milliseconds(20));
      housekeeping();
    }
    LOG(WARNING) << "event=drain-timeout in_flight=" << state_.in_flight;
  }

  const config::node_settings settings_;
  cut_filter cuts_;
  dispatcher routes_;
  crash_guard crashes_;
  upstream_client client_;
  reporter reports_;
  control_plane control_;
  request_path path_;
  front_state state_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stop_requested_ = false;
};

server::server(config::node_settings settings)
    : implementation_(std::make_unique<implementation>(std::move(settings))) {}

server::~server() = default;

leaf::result<void> server::run() {
  try {
    implementation_->run();
    return {};
  } catch (const Poco::Exception& error) {
    return leaf::new_error(environment_error{
        "can't serve: " + error.displayText(),
        "check that the addresses and ports of the settings are this VM's and are free"});
  }
}

void server::request_stop() {
  implementation_->request_stop();
}

} // namespace damaskledge::node
