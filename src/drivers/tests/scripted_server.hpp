// A TCP server for tests that runs a script for each connection.
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

// Longest wait of a test for any event; only keeps a failing test from hanging.
inline constexpr auto test_timeout = std::chrono::seconds(20);

// A blocking connection, of either the client or the server.
class test_connection
{
public:
    explicit test_connection(boost::asio::ip::tcp::socket connected);

    // Connects to host:port. If that fails, all later calls fail too.
    explicit test_connection(std::string const& address);

    // False if the connection could not be opened.
    [[nodiscard]] bool is_open() const;
    // Returns false if the other side has closed the connection.
    bool write(std::string_view text);
    // Reads a message's head and the body that its Content-Length states; empty
    // if the other side closes the connection first.
    std::string read_message();
    // Reads a message's head and leaves its body; empty if the other side
    // closes the connection first.
    std::string read_head();
    // Reads the body that the Content-Length of this head states, and returns
    // the whole message; empty if the other side closes the connection first.
    std::string read_body_of(std::string const& head);
    // Reads until the other side closes the connection.
    std::string read_all();
    // Ends the sending direction; the other side can go on sending.
    void end_sending();
    void close();
    // Closes the connection with a TCP reset.
    void reset();

private:
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket;
    std::string unread;
    bool is_connected = true;

    bool read_more();
};

// Runs the script for each connection in a separate thread.
class scripted_server
{
public:
    // The script gets the connection and its number, counted from zero.
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
    std::atomic<bool> is_stopping = false;
    std::vector<std::thread> connection_threads;
    std::thread accept_thread;

    void accept();
};

// Returns the value of a header in a message's head; empty if there is none.
std::string header_of(std::string const& message, std::string const& name);

// Returns the body of a message.
std::string body_of(std::string const& message);

// Returns a 200 response with this body.
std::string ok_answer(std::string_view body);

// Returns field lines of a head, with their ends, in which the name of a field
// holds a blank or a control byte.
std::vector<std::string> malformed_field_lines();

// Returns the first of two consecutive TCP ports on loopback that were free at
// the time of the call; 0 if there are none.
std::uint16_t find_free_port_pair();

} // namespace plantaintally::drivers
