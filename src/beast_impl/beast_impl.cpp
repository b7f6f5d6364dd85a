// The compiled parts of Boost.Asio and Boost.Beast, once for each program.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
