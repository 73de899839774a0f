// Boost.JSON is compiled in this one place because its sources are slow to build.
#include <boost/json/src.hpp>
