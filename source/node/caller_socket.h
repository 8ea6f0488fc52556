/// @file
/// Sockets of accepted connections, which bound and check the headers of requests.
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include "common/common.h"
#include "config/config.h"
#include "node/request_path.h"

namespace damaskledge::node {

/// @return the duration, at least a millisecond, since POCO takes 0 as no limit.
Poco::Timespan to_timespan(duration value);

/// @return the socket of a request's connection.
Poco::Net::StreamSocket& socket_of(Poco::Net::HTTPServerRequest& request);

/// Writes a whole answer.
/// @param head_only true for a HEAD request.
void write_answer(Poco::Net::HTTPServerResponse& response, const caller_answer& answer,
                  bool head_only);

/// Listening socket whose connections bound the time and size of request headers.
class listening_socket : public Poco::Net::ServerSocket {
 public:
  /// @throws Poco::Net::NetException when the address can't be bound.
  listening_socket(const Poco::Net::SocketAddress& address, int backlog,
                   const config::node_settings& settings);
};

/// @return a handler that tells the connection's socket when the headers end and when `inner`,
/// which it owns, has answered.
Poco::Net::HTTPRequestHandler* make_timed_handler(Poco::Net::HTTPRequestHandler* inner);

} // namespace damaskledge::node
