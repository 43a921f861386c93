// The seam between the daemon and the place that it runs at, where that place has ways of its own: what it tells a
// process of itself, how its callers, runners and operators speak, and where its list of runners is. Without one, the
// daemon goes by its own settings and interfaces.
#pragma once
#include "control/control.hpp"
#include "host/settings.hpp"
#include "interfaces/dialect.hpp"
#include "listing/listing.hpp"

namespace mothwalk {

// The calls of a place's operators, callers' lots and watchers of readiness.
class PlatformApi {
 public:
  virtual ~PlatformApi() = default;
  // Whether a request that came in on the callers' side is one of these calls.
  virtual bool takes(StringView method, StringView target, const std::vector<Header>& headers) const = 0;
  virtual void handle(ControlRequest request, ControlAnswer answer) = 0;
};

class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;
  // As the place says it now; asked again when it may have changed.
  virtual Result<Settings> settings() = 0;
  virtual const Dialect& dialect() const = 0;
  virtual const ConfigurationFormat& format() const = 0;
  // The list of runners; none where this daemon has no way to it.
  virtual std::unique_ptr<ListSource> list_source() const = 0;
  virtual std::unique_ptr<PlatformApi> surface(Messenger& messenger, SharedState& shared_state, RandomSource& random,
                                               const Member& self) = 0;
};

// The place that this process finds itself at, or none. Defined by the adapter that is linked in.
std::unique_ptr<PlatformAdapter> platform_adapter_of_process();

}  // namespace mothwalk
