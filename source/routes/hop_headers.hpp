// Removes the hop-by-hop headers (RFC 9110, section 7.6.1), which must not be forwarded with a message.
#pragma once
#include "interfaces/dialect.hpp"

namespace mothwalk {

// Returns the headers to forward, without hop-by-hop headers and those that the Connection header names. Content-Length
// is kept only if `keep_content_length` is set.
std::vector<Header> end_to_end(const std::vector<Header>& headers, bool keep_content_length);

}  // namespace mothwalk
