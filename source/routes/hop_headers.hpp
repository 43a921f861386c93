// Headers that concern one connection only (RFC 9110, 7.6.1) stay behind when a message is passed on.
#pragma once
#include "interfaces/dialect.hpp"

namespace mothwalk {

// The headers to pass on, without those that the Connection header names; Content-Length only where `length` says so.
std::vector<Header> end_to_end(const std::vector<Header>& headers, bool length);

}  // namespace mothwalk
