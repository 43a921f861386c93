// Compiles Beast once.
#include <boost/beast/src.hpp>
