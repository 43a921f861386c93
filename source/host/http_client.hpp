// A blocking HTTP/1.1 client with a time limit, for the operator's command line and the test programs.
#pragma once
#include "interfaces/interfaces.hpp"

namespace mothwalk {

struct HttpResponse {
  int status = 0;
  std::map<std::string, std::string> headers;  // The names are in lower case.
  Bytes body;
};

// Sends one request over a new connection and returns the response. The error is of kind `unknown` if the server may
// have processed the request, and `lost` if no connection was made.
Result<HttpResponse> http_call(const Address& to, StringView method, StringView target, StringView body,
                               Duration limit);

}  // namespace mothwalk
