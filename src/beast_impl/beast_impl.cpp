// Compiles the implementations of Boost.Asio and Boost.Beast once for each
// program, as their separate compilation mode requires.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
