// Frames as another node sends them.
#include "fleet/fleet.h"
#include "fuzz/fuzz.h"

using namespace damaskledge;

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  std::string input(fuzz::text_of(data, size));
  const auto decoded = fleet::decode(input);
  if (decoded.value) {
    std::string again = fleet::encode(*decoded.value);
    const std::string bytes = again;
    const auto second = fleet::decode(again);
    fuzz::require(second.value && again.empty(), "an encoded frame is one frame");
    // Compared by bytes, since a number that is none differs from itself.
    fuzz::require(fleet::encode(*second.value) == bytes, "decode(encode(x)) == x");
  }
}
