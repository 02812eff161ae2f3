// Boost.JSON is used as a header-only library; this file compiles its
// definitions.
#include <boost/json/src.hpp>
