// Boost.JSON is header-only here: its definitions are compiled in this file.
#include <boost/json/src.hpp>
