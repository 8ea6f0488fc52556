#include <algorithm>
#include <functional>
#include <sstream>

#include <Poco/Base64Encoder.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include "control/commands.h"

namespace damaskledge::control {

namespace {

/// Races that one command may lose before it gives up. Changes of different keys don't
/// conflict in substance, so each loser reads again and repeats its own change.
constexpr int max_races = 10;

std::string bytes_of(const id128& value) {
  return *from_hex(damaskledge::to_string(value));
}

std::string base64url(const std::string& bytes) {
  std::ostringstream text;
  Poco::Base64Encoder encoder(text, Poco::BASE64_URL_ENCODING | Poco::BASE64_NO_PADDING);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return text.str();
}

std::string iso_time(unix_milliseconds value) {
  return Poco::DateTimeFormatter::format(Poco::Timestamp(value * 1'000),
                                         Poco::DateTimeFormat::ISO8601_FORMAT);
}

leaf::result<config::key_record*> find_key(config::keys& value, const std::string& id) {
  const auto it = std::find_if(value.records.begin(), value.records.end(),
                               [&](const auto& record) { return record.id == id; });
  if (it == value.records.end()) {
    return leaf::new_error(
        failure(not_found{"there is no key " + id + "; damaskledgectl keys list shows the keys"}));
  }
  return &*it;
}

/// Changes the keys document, repeating the change on the winner's version after a lost race.
/// @param change returns false when there is nothing to change.
/// @return the version with the change in it.
leaf::result<std::uint64_t>
change_keys(const environment& outside,
            const std::function<leaf::result<bool>(config::keys&)>& change) {
  for (int race = 0; race < max_races; ++race) {
    BOOST_LEAF_AUTO(current, read_keys(outside));
    BOOST_LEAF_AUTO(changed, change(current.value));
    if (!changed) {
      return current.version;
    }
    BOOST_LEAF_AUTO(written, write_document(outside, config::keys_document, current.version,
                                            to_document(current.value)));
    if (written.written) {
      return written.version;
    }
    outside.progress("keys version " + std::to_string(written.version) +
                     " came first; repeating the change on it");
  }
  return leaf::new_error(
      failure(lost_race{std::string(config::keys_document),
                        0,
                        0,
                        {"others changed the keys " + std::to_string(max_races) +
                         " times meanwhile; nothing was changed by this command"}}));
}

leaf::result<void> wait_for_keys(const environment& outside, const flags& given,
                                 std::uint64_t version, report& result) {
  if (!given.wait) {
    return {};
  }
  BOOST_LEAF_AUTO(lists, read_lists(outside));
  return add_wait(outside, given, config::keys_document, version, data_centre_names(lists.value),
                  result);
}

} // namespace

std::pair<std::string, config::key_record> make_key(const std::string& account,
                                                    unix_milliseconds now) {
  const std::string secret = base64url(bytes_of(random_id()) + bytes_of(random_id()));
  const digest256 digest = sha256(secret);
  config::key_record record;
  record.id = damaskledge::to_string(random_id()).substr(0, 12);
  record.account = account;
  record.digest =
      to_hex(std::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
  record.given_at = now;
  return {"dlk_" + record.id + "_" + secret, record};
}

leaf::result<report> keys_give(const flags& given, const environment& outside) {
  if (given.account.empty()) {
    return leaf::new_error(failure(usage_error{"--account is missing; name the account"}));
  }
  BOOST_LEAF_AUTO(lists, read_lists(outside));
  const auto& accounts = lists.value.accounts;
  if (std::none_of(accounts.begin(), accounts.end(),
                   [&](const auto& it) { return it.name == given.account; })) {
    return leaf::new_error(failure(
        not_found{"there is no account " + given.account +
                  " in the lists; damaskledgectl show lists the accounts, apply adds one"}));
  }
  const auto made = make_key(given.account, unix_now());
  // When the fate of the write stays unknown, operators need the id to withdraw the key.
  outside.progress("giving account " + given.account + " the key with id " + made.second.id);
  BOOST_LEAF_AUTO(version, change_keys(outside, [&](config::keys& current) -> leaf::result<bool> {
                    const auto same =
                        std::find_if(current.records.begin(), current.records.end(),
                                     [&](const auto& it) { return it.id == made.second.id; });
                    if (same != current.records.end()) {
                      // An earlier write of this command took effect after all.
                      return false;
                    }
                    current.records.push_back(made.second);
                    return true;
                  }));
  report result;
  result.lines.push_back(made.first);
  result.data["key"] = made.first;
  result.data["id"] = made.second.id;
  result.data["account"] = given.account;
  result.data["version"] = version;
  BOOST_LEAF_CHECK(wait_for_keys(outside, given, version, result));
  return result;
}

leaf::result<report> keys_list(const flags& given, const environment& outside) {
  BOOST_LEAF_AUTO(current, read_keys(outside));
  report result;
  result.data["version"] = current.version;
  result.data["keys"] = nlohmann::ordered_json::array();
  for (const auto& it : current.value.records) {
    if (!given.account.empty() && it.account != given.account) {
      continue;
    }
    result.lines.push_back(it.id + "  " + it.account + "  given " + iso_time(it.given_at) + "  " +
                           (it.withdrawn ? "withdrawn" : "valid"));
    result.data["keys"].push_back({{"id", it.id},
                                   {"account", it.account},
                                   {"given_at", it.given_at},
                                   {"withdrawn", it.withdrawn}});
  }
  return result;
}

leaf::result<report> keys_withdraw(const std::string& id, const flags& given,
                                   const environment& outside) {
  BOOST_LEAF_AUTO(version, change_keys(outside, [&](config::keys& current) -> leaf::result<bool> {
                    BOOST_LEAF_AUTO(record, find_key(current, id));
                    const bool changed = !record->withdrawn;
                    record->withdrawn = true;
                    return changed;
                  }));
  report result;
  result.lines.push_back("key " + id + " is withdrawn in keys version " + std::to_string(version));
  result.data["id"] = id;
  result.data["version"] = version;
  BOOST_LEAF_CHECK(wait_for_keys(outside, given, version, result));
  if (result.code == exit_code::not_confirmed) {
    result.lines.emplace_back("the key may still work in the data centres that have not "
                              "confirmed, for at most their setting key_grace");
  }
  return result;
}

leaf::result<report> keys_remove(const std::string& id, const flags& given,
                                 const environment& outside) {
  BOOST_LEAF_AUTO(
      version, change_keys(outside, [&](config::keys& current) -> leaf::result<bool> {
        BOOST_LEAF_AUTO(record, find_key(current, id));
        if (!record->withdrawn) {
          return leaf::new_error(failure(
              usage_error{"key " + id +
                          " is still valid; withdraw it with damaskledgectl keys withdraw first"}));
        }
        current.records.erase(current.records.begin() + (record - current.records.data()));
        return true;
      }));
  report result;
  result.lines.push_back("the record of key " + id + " is removed in keys version " +
                         std::to_string(version));
  result.data["id"] = id;
  result.data["version"] = version;
  BOOST_LEAF_CHECK(wait_for_keys(outside, given, version, result));
  return result;
}

} // namespace damaskledge::control
