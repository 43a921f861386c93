// Digests of content for identity: equal digests mean equal content.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk {

// Sixteen bytes made of the SHA-1 of the content (a name-based UUID, version 5: 122 bits of it). Not for secrets, nor
// against someone who forges content on purpose.
Bytes digest_of(StringView content);

}  // namespace mothwalk
