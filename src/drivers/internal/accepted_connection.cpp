#include "drivers/internal/accepted_connection.hpp"

#include <stdexcept>

namespace plantaintally::drivers
{

accepted_connection::accepted_connection(tcp::socket accepted)
    : socket(std::move(accepted)), guard(this->socket)
{
}

std::string accepted_connection::remote_ip() const
{
    error_code ec;
    auto const remote = this->socket.remote_endpoint(ec);
    return ec ? std::string() : remote.address().to_string();
}

bool accepted_connection::is_from_own_host() const
{
    error_code ec;
    auto const local = this->socket.local_endpoint(ec);
    error_code remote_ec;
    auto const remote = this->socket.remote_endpoint(remote_ec);
    return !ec && !remote_ec && local.address() == remote.address();
}

asio::any_io_executor accepted_connection::executor()
{
    return this->socket.get_executor();
}

peek_result accepted_connection::peek()
{
    return drivers::peek(this->socket);
}

deadline_guard& accepted_connection::read_guard()
{
    return this->guard;
}

void accepted_connection::cancel()
{
    error_code ignored;
    this->socket.cancel(ignored);
}

tcp::socket& accepted_connection::take_writing_side()
{
    if (std::exchange(this->is_writing_side_taken, true))
    {
        throw std::logic_error("the connection has a writer already");
    }
    return this->socket;
}

} // namespace plantaintally::drivers
