// A blocking HTTP/1.1 client with a time limit, for the operator's command line and the stand-ins.
#pragma once
#include "interfaces/interfaces.hpp"

namespace mothwalk {

struct HttpAnswer {
  int status = 0;
  std::map<std::string, std::string> headers;  // names in lower case
  Bytes body;
};

Result<HttpAnswer> http_call(const Address& to, StringView method, StringView target, StringView body, Duration limit);

}  // namespace mothwalk
