// Computes digests with Boost's name-based UUIDs, which are header-only and come with the Boost headers that the
// project already uses.
#include "coding/digest.hpp"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid.hpp>

namespace mothwalk {

Bytes digest_of(StringView content) {
  static const boost::uuids::name_generator_sha1 generate{boost::uuids::uuid{}};
  const boost::uuids::uuid digest = generate(content.data(), content.size());
  return Bytes(digest.begin(), digest.end());
}

}  // namespace mothwalk
