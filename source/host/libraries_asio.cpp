// Compiles Asio once.
#include <boost/asio/impl/src.hpp>
