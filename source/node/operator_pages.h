/// @file
/// Handlers of the local port's announcements and of the operators' pages.
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>

#include "node/http_front.h"

namespace damaskledge::node {

/// @return a handler of announcements, drains and departures of the VM's own upstreams.
Poco::Net::HTTPRequestHandler* make_announcement_handler(front_state& state);
/// @return a handler of /metrics, /status, /targets and /explain.
Poco::Net::HTTPRequestHandler* make_operator_handler(front_state& state);

} // namespace damaskledge::node
