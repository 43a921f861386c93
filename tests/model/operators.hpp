// Operators: clients that change and read the configuration and single keys through any daemon, one operation at a
// time, and record what they were told.
#pragma once
#include "model/cluster.hpp"
#include "model/register_history.hpp"

namespace mothwalk::model {

enum class Step { change, show, put, get, put_lot, remove_lot, get_lot };

inline constexpr View zone_key = "zone/evacuated";
inline constexpr View lot_register = "lot/one";

class Operator {
 public:
  Operator(Cluster& cluster, std::string name, std::vector<Step> steps, std::int64_t begin,
           std::map<std::string, std::vector<Operation>>& histories);

 private:
  struct Running;  // one operation under way
  void next();
  Machine* choose();
  std::shared_ptr<Running> begin(const std::string& key, OperationKind kind, std::string value);
  void finish(const std::shared_ptr<Running>& running, Outcome outcome);
  void change(std::shared_ptr<Running> running);
  void show();
  void write(Write write, OperationKind kind);
  void read(const std::string& key);
  Operation& record(const Running& running);

  Cluster& cluster_;
  const std::string name_;
  std::vector<Step> steps_;
  std::size_t at_ = 0;
  std::uint64_t sends_ = 0, revision_ = 0;
  std::map<std::string, std::vector<Operation>>& histories_;
};

// A confirmed read through a machine: tells the value, or none where no answer came.
void read_value(Machine& machine, const std::string& key, std::function<void(std::optional<std::string>)> then);

}  // namespace mothwalk::model
