// Compiles Boost.JSON in a single translation unit, because its sources are slow to compile.
#include <boost/json/src.hpp>
