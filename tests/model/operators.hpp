// Operators: clients that change and read the configuration and single keys through any daemon, one operation at a
// time, and record the results.
#pragma once
#include "model/cluster.hpp"
#include "model/register_history.hpp"

namespace mothwalk::model {

enum class Step { change, show, put, get, put_lot, remove_lot, get_lot };

inline constexpr StringView lot_register = "lot/one";

// What an operator does, and from when on.
struct OperatorPlan {
  std::vector<Step> steps;
  std::int64_t begin = 1300;  // milliseconds
  bool repeats = true;        // repeats its steps until the end time that the Operator is given
};

// Runs a plan on the cluster and appends its operations to the history of their key.
class Operator {
 public:
  // Begins no operation after `until`, in milliseconds of virtual time.
  Operator(Cluster& cluster, std::string name, OperatorPlan plan, std::int64_t until,
           std::map<std::string, std::vector<Operation>>& histories);

 private:
  struct OngoingOperation;  // an operation in progress
  void start_next_operation();
  Machine* choose_machine();
  std::shared_ptr<OngoingOperation> begin(const std::string& key, OperationKind kind, std::string value);
  void finish(const std::shared_ptr<OngoingOperation>& ongoing, Outcome outcome);
  void change(std::shared_ptr<OngoingOperation> ongoing);
  void show();
  void write(Write write, OperationKind kind);
  void read(const std::string& key);
  Operation& record(const OngoingOperation& ongoing);

  Cluster& cluster_;
  const std::string name_;
  const OperatorPlan plan_;
  const std::int64_t until_;
  std::size_t next_step_ = 0;
  std::uint64_t choice_count_ = 0, revision_ = 0;
  std::map<std::string, std::vector<Operation>>& histories_;
};

// Makes a confirmed read through a machine. The callback gets the value, or nullopt if the read failed.
void read_value(Machine& machine, const std::string& key, std::function<void(std::optional<std::string>)> callback);

}  // namespace mothwalk::model
