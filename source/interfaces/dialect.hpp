// The seam between the product's requests and the HTTP that callers and runners of a place speak: what a caller's
// headers say in the product's terms, what an attempt at a runner has to carry, and what a runner's answer says beside
// its status. The plain dialect is the product's own; a platform brings another.
#pragma once
#include "interfaces/interfaces.hpp"

namespace mothwalk {

// One part of a prompt, in order; parts with equal ids are equal text, so a runner that keeps one need not read it
// again.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
  MOTHWALK_FIELDS(id, tokens)
};

// What a caller says of a request, in the product's terms. Fields that it does not give stay empty.
struct RequestInfo {
  std::string host;                         // lower case, without a port
  std::string id;                           // of this try of the caller
  std::optional<Duration> budget;           // how long the caller waits
  std::optional<std::uint64_t> last_event;  // the stream goes on after this event
  std::string model;
  std::vector<PromptPart> parts;
  std::uint32_t prompt_tokens = 0, output_tokens = 0;
  MOTHWALK_FIELDS(host, id, budget, last_event, model, parts, prompt_tokens, output_tokens)
};

struct AttemptInfo {
  std::string runner;  // the instance that it is meant for, and no other
  Duration left{};     // of the caller's budget
  std::optional<std::uint64_t> last_event;
  std::string version;  // of the weights that the stream must go on under; empty: any
};

struct RunnerLoad {
  std::uint32_t running = 0, waiting = 0, slots = 0;
};

struct ResponseInfo {
  bool not_run = false;          // the runner promises that it did not run the request
  bool other_instance = false;   // another instance answers at this address
  bool foreign = false;          // the answer belongs to another request, or is not the runner's own
  bool false_refusal = false;    // its status would tell the caller that nothing ran, which the runner does not promise
  bool closing = false;          // the runner closes the connection after it
  std::optional<Duration> idle;  // how long the runner keeps an idle connection
  std::string version;           // of the weights that answer: a stream goes on under the same alone
  std::optional<RunnerLoad> load;
};

class Dialect {
 public:
  virtual ~Dialect() = default;
  virtual RequestInfo read_request(const std::vector<Header>& headers) const = 0;
  // Sets or replaces the headers that the attempt carries beside those of the caller.
  virtual void write_attempt(AttemptRequest& request, const RequestInfo& facts, const AttemptInfo& attempt) const = 0;
  virtual ResponseInfo read_answer(int status, const std::vector<Header>& headers, const RequestInfo& facts) const = 0;
  // The name of an event's first line that tells a change of weights, in lower case; empty: events do not tell it.
  virtual StringView version_field() const { return {}; }
  // The text of Retry-After, in seconds.
  virtual std::string retry_after(Duration span) const = 0;
};

// The product's own: nothing is read from the caller's headers but the host, and runners' statuses speak for
// themselves.
class PlainDialect : public Dialect {
 public:
  RequestInfo read_request(const std::vector<Header>& headers) const override;
  void write_attempt(AttemptRequest& request, const RequestInfo& facts, const AttemptInfo& attempt) const override;
  ResponseInfo read_answer(int status, const std::vector<Header>& headers, const RequestInfo& facts) const override;
  std::string retry_after(Duration span) const override;
};

const Dialect& plain_dialect();
bool same_name(StringView left, StringView right);  // header names, in any case
const std::string* header_of(const std::vector<Header>& headers, StringView name);

}  // namespace mothwalk
