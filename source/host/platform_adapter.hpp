// The interface between the daemon and the platform that it runs on: how a process gets its settings, how clients,
// runners and operators of that platform speak, and where its list of runners comes from. Without a platform, the
// daemon uses its own settings file and interfaces.
#pragma once
#include "control/control.hpp"
#include "host/settings.hpp"
#include "interfaces/dialect.hpp"
#include "listing/listing.hpp"

namespace mothwalk {

// The platform's HTTP API: requests of operators, clients' lots and readiness checks.
class PlatformApi {
 public:
  virtual ~PlatformApi() = default;
  // Whether a request that arrived at the clients' address belongs to this API.
  virtual bool is_api_request(StringView method, StringView target, const std::vector<Header>& headers) const = 0;
  virtual void handle(ControlRequest request, ControlReplyCallback send_reply) = 0;
};

// One platform. Each adapter implements this interface.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;
  // The current settings. They are read again when they may have changed.
  virtual Result<Settings> settings() = 0;
  virtual const Dialect& dialect() const = 0;
  virtual const ConfigurationFormat& format() const = 0;
  // The source of the list of runners, or null if this daemon cannot reach one.
  virtual std::unique_ptr<ListSource> list_source() const = 0;
  // Creates the platform's HTTP API.
  virtual std::unique_ptr<PlatformApi> make_api(Messenger& messenger, SharedState& shared_state, RandomSource& random,
                                                const Member& self) = 0;
};

// The platform that this process runs on, or null. Defined by the adapter that is linked in.
std::unique_ptr<PlatformAdapter> platform_adapter_of_process();

}  // namespace mothwalk
