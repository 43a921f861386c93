// Digests that identify content: contents with equal digests are taken to be equal.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk {

// Returns a digest of 16 bytes: a name-based UUID of version 5, which contains 122 bits of the content's SHA-1. It is
// not suitable for secrets and does not protect against deliberately forged content.
Bytes digest_of(StringView content);

}  // namespace mothwalk
