#include "scripted_server.hpp"

#include "settings/settings.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace plantaintally::drivers
{

namespace
{

using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

void set_hang_limit(tcp::socket& socket)
{
    timeval const limit{test_timeout.count(), 0};
    setsockopt(
        socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

std::string lower(std::string text)
{
    std::transform(text.begin(),
                   text.end(),
                   text.begin(),
                   [](unsigned char letter)
                   { return static_cast<char>(std::tolower(letter)); });
    return text;
}

tcp::endpoint loopback(std::uint16_t port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

bool is_free(boost::asio::io_context& io, std::uint16_t port)
{
    error_code ec;
    tcp::acceptor probe(io);
    probe.open(tcp::v4(), ec);
    probe.set_option(tcp::acceptor::reuse_address(true), ec);
    probe.bind(loopback(port), ec);
    if (!ec)
    {
        probe.listen(1, ec);
    }
    return !ec;
}

} // namespace

test_connection::test_connection(tcp::socket connected)
    : socket(std::move(connected))
{
    set_hang_limit(this->socket);
}

test_connection::test_connection(std::string const& address) : socket(this->io)
{
    auto const parsed = settings::parse_endpoint(address);
    error_code ec;
    this->socket.connect(loopback(parsed.value().port), ec);
    this->is_connected = !ec;
    set_hang_limit(this->socket);
}

bool test_connection::is_open() const
{
    return this->is_connected;
}

bool test_connection::write(std::string_view text)
{
    error_code ec;
    boost::asio::write(this->socket, boost::asio::buffer(text), ec);
    return !ec;
}

bool test_connection::read_more()
{
    std::array<char, 4096> chunk{};
    auto const count =
        ::recv(this->socket.native_handle(), chunk.data(), chunk.size(), 0);
    if (count <= 0)
    {
        return false;
    }
    this->unread.append(chunk.data(), static_cast<std::size_t>(count));
    return true;
}

std::string test_connection::read_head()
{
    constexpr std::string_view head_end = "\r\n\r\n";
    std::size_t end = std::string::npos;
    while ((end = this->unread.find(head_end)) == std::string::npos)
    {
        if (!this->read_more())
        {
            return {};
        }
    }
    auto const head_bytes = end + head_end.size();
    auto head = this->unread.substr(0, head_bytes);
    this->unread.erase(0, head_bytes);
    return head;
}

std::string test_connection::read_body_of(std::string const& head)
{
    if (head.empty())
    {
        return {};
    }
    auto const length = header_of(head, "Content-Length");
    auto const body_bytes = length.empty() ? 0 : std::stoul(length);
    while (this->unread.size() < body_bytes)
    {
        if (!this->read_more())
        {
            return {};
        }
    }
    auto message = head + this->unread.substr(0, body_bytes);
    this->unread.erase(0, body_bytes);
    return message;
}

std::string test_connection::read_message()
{
    return this->read_body_of(this->read_head());
}

std::string test_connection::read_all()
{
    while (this->read_more())
    {
    }
    return std::move(this->unread);
}

void test_connection::end_sending()
{
    error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void test_connection::close()
{
    error_code ignored;
    this->socket.close(ignored);
}

void test_connection::reset()
{
    error_code ignored;
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    this->socket.close(ignored);
}

scripted_server::scripted_server(script answers)
    : answer(std::move(answers)), acceptor(this->io, loopback(0)),
      accept_thread([this] { this->accept(); })
{
}

scripted_server::~scripted_server()
{
    this->is_stopping = true;
    test_connection const wake(this->address());
    this->accept_thread.join();
    for (auto& each : this->connection_threads)
    {
        each.join();
    }
}

std::string scripted_server::address() const
{
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
}

std::size_t scripted_server::connection_count() const
{
    return this->connections;
}

void scripted_server::accept()
{
    while (true)
    {
        error_code ec;
        auto accepted = this->acceptor.accept(ec);
        if (ec || this->is_stopping)
        {
            return;
        }
        auto const number = this->connections++;
        this->connection_threads.emplace_back(
            [this, number, accepted = std::move(accepted)]() mutable
            {
                test_connection connection(std::move(accepted));
                this->answer(connection, number);
            });
    }
}

std::string header_of(std::string const& message, std::string const& name)
{
    auto const head = message.substr(0, message.find("\r\n\r\n") + 2);
    auto const at = lower(head).find("\r\n" + lower(name) + ":");
    if (at == std::string::npos)
    {
        return {};
    }
    auto const begin = head.find_first_not_of(' ', at + name.size() + 3);
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string body_of(std::string const& message)
{
    return message.substr(message.find("\r\n\r\n") + 4);
}

std::string ok_answer(std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + std::string(body);
}

std::vector<std::string> malformed_field_lines()
{
    return {"X Note: 1\r\n",
            "X\x01Note: 1\r\n",
            "X-Note : 1\r\n",
            "X-Note: 1\r\n X-Other: 2\r\n",
            "X-Note:\r\n\tX-Other: 2\r\n"};
}

std::uint16_t find_free_port_pair()
{
    // Below the range from which the kernel takes ports for outgoing
    // connections. Each process starts elsewhere, to avoid collisions between
    // test processes.
    constexpr unsigned first_port = 10'000;
    constexpr unsigned port_count = 9'000;
    constexpr unsigned spread = 98;
    static unsigned next = static_cast<unsigned>(getpid()) * spread;
    boost::asio::io_context io;
    for (unsigned tried = 0; tried < port_count; tried += 2)
    {
        next += 2;
        auto const port =
            static_cast<std::uint16_t>(first_port + next % port_count);
        if (is_free(io, port) && is_free(io, port + 1))
        {
            return port;
        }
    }
    return 0;
}

} // namespace plantaintally::drivers
