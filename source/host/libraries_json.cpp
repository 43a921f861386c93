// Compiles Boost.JSON once.
#include <boost/json/src.hpp>
