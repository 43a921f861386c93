// The text form of schedules: shape, latency seed, and loss and delay rates, then the deviations, separated by ";".
#include "model/schedule.hpp"

#include <array>
#include <sstream>

namespace mothwalk::model {

namespace {
constexpr std::array<StringView, 7> kind_names = {"lose", "delay", "crash", "wipe", "freeze", "cut", "slow"};

std::optional<DeviationKind> kind_of(StringView name) {
  for (std::size_t index = 0; index < kind_names.size(); ++index)
    if (kind_names[index] == name) return static_cast<DeviationKind>(index);
  return std::nullopt;
}
}  // namespace

std::string write_schedule(const Schedule& schedule) {
  std::ostringstream out;
  out << schedule.shape << ' ' << schedule.latency_seed << ' ' << schedule.lose_permille << ' '
      << schedule.delay_permille;
  for (const auto& each : schedule.deviations)
    out << "; " << kind_names[static_cast<std::size_t>(each.kind)] << ' ' << each.target << ' ' << each.at << ' '
        << each.length << ' ' << each.mask;
  return out.str();
}

std::optional<Schedule> read_schedule(const std::string& text) {
  Schedule schedule;
  std::istringstream parts(text);
  std::string part;
  if (!std::getline(parts, part, ';')) return std::nullopt;
  std::istringstream head(part);
  if (!(head >> schedule.shape >> schedule.latency_seed >> schedule.lose_permille >> schedule.delay_permille))
    return std::nullopt;
  while (std::getline(parts, part, ';')) {
    std::istringstream fields(part);
    std::string name;
    Deviation deviation;
    if (!(fields >> name >> deviation.target >> deviation.at >> deviation.length >> deviation.mask))
      return std::nullopt;
    const auto kind = kind_of(name);
    if (!kind) return std::nullopt;
    deviation.kind = *kind;
    schedule.deviations.push_back(std::move(deviation));
  }
  return schedule;
}

}  // namespace mothwalk::model
