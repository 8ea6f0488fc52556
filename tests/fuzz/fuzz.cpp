#include "fuzz/fuzz.h"

#include <cstdio>
#include <cstdlib>

namespace damaskledge::fuzz {

void require(bool holds, std::string_view property) {
  if (!holds) {
    std::fprintf(stderr, "property violated: %.*s\n", static_cast<int>(property.size()),
                 property.data());
    std::abort();
  }
}

std::string_view text_of(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

std::vector<std::string_view> split(std::string_view input, std::size_t parts) {
  constexpr std::string_view separator = "\n----\n";
  std::vector<std::string_view> result;
  while (result.size() + 1 < parts) {
    const std::size_t end = input.find(separator);
    result.push_back(input.substr(0, end));
    input =
        end == std::string_view::npos ? std::string_view{} : input.substr(end + separator.size());
  }
  result.push_back(input);
  return result;
}

} // namespace damaskledge::fuzz

// The names are libFuzzer's.
// NOLINTBEGIN(readability-identifier-naming)
extern "C" int LLVMFuzzerInitialize(int* /*count*/, char*** /*arguments*/) {
  // A violated invariant of the code under test ends the process, too.
  setenv("DAMASKLEDGE_ABORT_ON_VIOLATION", "1", 1);
  return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  damaskledge::fuzz::run(data, size);
  return 0;
}
// NOLINTEND(readability-identifier-naming)
