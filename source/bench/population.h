/// @file
/// Settings, documents and records of a fleet of a given size. Internal to the bench library.
#pragma once

#include <cstddef>
#include <string>

#include "config/config.h"
#include "wire/wire.h"

namespace damaskledge::bench {

/// Services of the design size.
inline constexpr std::size_t service_count = 110;
inline constexpr std::size_t data_centre_count = 6;
inline constexpr std::uint16_t peer_port = 8'082;
/// Wall-clock time at which all measurements start.
inline constexpr unix_milliseconds wall_start = 1'700'000'000'000;

std::string account_name(std::size_t index);
std::string service_name(std::size_t index);
/// Members are numbered round the data centres.
std::size_t data_centre_of(std::size_t member);
config::node_settings node_settings(std::size_t member);
/// The upstream of a member's VM.
wire::service_record upstream_of(std::size_t member);
/// Record as the member tells it of itself.
wire::member_record record_of(std::size_t member);

/// Eight plans, one route per service, even weights.
config::lists make_lists(std::size_t accounts);
/// Secret part of a key, and the key as a caller sends it.
std::string key_text(std::size_t index);
/// Keys spread over the accounts; one in 50 is withdrawn.
config::keys make_keys(std::size_t keys, std::size_t accounts);

/// Content of the platform objects `config/lists` and `config/keys`.
std::string object_of(const config::lists& value, std::size_t change);
std::string object_of(const config::keys& value, std::size_t change);

} // namespace damaskledge::bench
