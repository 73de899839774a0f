// Compiles Boost.JSON once for the whole library.
#include <boost/json/src.hpp>
