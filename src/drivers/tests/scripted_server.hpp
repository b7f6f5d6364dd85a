// A hand-written HTTP server for tests: it answers what its script says.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace plantaintally::drivers
{

// Longest wait of a test for anything; only keeps a failure from hanging.
inline constexpr auto test_timeout = std::chrono::seconds(20);

// A connection that blocks, from either side.
class test_connection
{
public:
    explicit test_connection(boost::asio::ip::tcp::socket connected);

    // Connects to host:port; later calls fail if that did.
    explicit test_connection(std::string const& address);

    void write(std::string_view text);
    // A message's head and the body that its Content-Length states; empty if
    // the other side closes before.
    std::string read_message();
    // Everything until the other side closes.
    std::string read_all();
    void close();
    // Sends a reset instead of an orderly end.
    void reset();

private:
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket;
    std::string rest;

    bool read_more();
};

// Runs the script for each connection, in a thread each.
class scripted_server
{
public:
    // The script is given the connection and its number from zero on.
    using script = std::function<void(test_connection&, std::size_t)>;

    explicit scripted_server(script answers);
    ~scripted_server();
    scripted_server(scripted_server const&) = delete;
    scripted_server& operator=(scripted_server const&) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::size_t connection_count() const;

private:
    script answer;
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor;
    std::atomic<std::size_t> connections = 0;
    std::atomic<bool> is_ending = false;
    std::vector<std::thread> served;
    std::thread accepting;

    void accept();
};

// The value of a header in a message's head; empty if it has none.
std::string header_of(std::string const& message, std::string const& name);

// The body of a message.
std::string body_of(std::string const& message);

// A 200 answer with this body.
std::string ok_answer(std::string_view body);

// Two consecutive TCP ports on loopback that were free when this was called.
std::uint16_t find_free_port_pair();

} // namespace plantaintally::drivers
