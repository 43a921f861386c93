// Builds operators' requests with the platform's names.
#include "platform_operators.hpp"

namespace mothwalk::simulate {

OperatorRequest replace_request(std::uint64_t base, std::uint64_t number, const std::string& note) {
  const json::object document{
      {"config-revision", number}, {"route-table", json::array{}}, {"pool-table", json::array{}}, {"note", note}};
  return OperatorRequest{
      "POST", "/v1/Config.Replace", {{"Base-Version", std::to_string(base)}}, json::serialize(document)};
}

}  // namespace mothwalk::simulate
