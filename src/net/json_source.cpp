// Boost.JSON is used header-only, so its definitions are compiled here, once for the whole library.
#include <boost/json/src.hpp>
