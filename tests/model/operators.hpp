// Operators: clients that change and read the configuration and single keys through any daemon, one operation at a
// time, and record what they were told.
#pragma once
#include "model/cluster.hpp"
#include "model/register_history.hpp"

namespace mothwalk::model {

enum class Step { change, show, put, get, put_lot, remove_lot, get_lot };

inline constexpr StringView lot_register = "lot/one";

struct OperatorPlan {
  std::vector<Step> steps;
  std::int64_t begin = 1300;  // milliseconds
  bool repeats = true;        // goes through its steps again until the trouble ends
};

class Operator {
 public:
  // Goes on until the given time in milliseconds.
  Operator(Cluster& cluster, std::string name, OperatorPlan plan, std::int64_t until,
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
  const OperatorPlan plan_;
  const std::int64_t until_;
  std::size_t at_ = 0;
  std::uint64_t sends_ = 0, revision_ = 0;
  std::map<std::string, std::vector<Operation>>& histories_;
};

// A confirmed read through a machine: tells the value, or none where no answer came.
void read_value(Machine& machine, const std::string& key, std::function<void(std::optional<std::string>)> then);

}  // namespace mothwalk::model
