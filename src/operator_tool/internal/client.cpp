#include "operator_tool/client.hpp"

#include "responses/response_parser.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace plantaintally::operator_tool
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::string_view command_target = "/plantaintally/v1/command";

// Maximum size of a reply's body, in bytes.
constexpr std::uint64_t max_reply_bytes = 64ULL << 20U;

result<asio::ip::tcp::endpoint> parse_endpoint(std::string_view address)
{
    std::size_t const colon = address.rfind(':');
    if (colon == std::string_view::npos)
    {
        return fail(errc::invalid_input,
                    "'" + std::string(address) + "' is not host:port");
    }
    std::string_view const port_text = address.substr(colon + 1);
    std::uint16_t port = 0;
    auto const [parse_end, failure] = std::from_chars(
        port_text.data(), port_text.data() + port_text.size(), port);
    bool const is_number = failure == std::errc{} &&
                           parse_end == port_text.data() + port_text.size();
    boost::system::error_code code;
    auto const host =
        asio::ip::make_address(std::string(address.substr(0, colon)), code);
    if (!is_number || code)
    {
        return fail(errc::invalid_input,
                    "'" + std::string(address) +
                        "' is not an IP address and a port");
    }
    return asio::ip::tcp::endpoint(host, port);
}

http::request<http::string_body> make_request(std::string_view node_address,
                                              std::string_view text)
{
    http::request<http::string_body> request(
        http::verb::post, std::string(command_target), 11);
    request.set(http::field::host, std::string(node_address));
    request.set(http::field::content_type, "application/json");
    request.body() = nlohmann::json{{"text", std::string(text)}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    request.prepare_payload();
    return request;
}

result<command_reply> parse_reply(std::string const& body)
{
    auto const json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
    {
        return fail(errc::io_failure, "the reply is not a JSON object");
    }
    try
    {
        command_reply reply;
        reply.status = json.value("status", "unknown");
        reply.message = json.value("message", "");
        reply.table.columns = json.value("columns", std::vector<std::string>{});
        reply.table.rows = json.value("rows", std::vector<table_row>{});
        return reply;
    }
    catch (nlohmann::json::exception const& failure)
    {
        return fail(errc::io_failure,
                    std::string("the reply is malformed: ") + failure.what());
    }
}

// Sends one command over its own connection and reads the reply. The callbacks
// run on the object's io_context, within run().
class command_exchange
{
public:
    command_exchange(std::string_view node_address, std::string_view text)
        : stream(this->io), request(make_request(node_address, text))
    {
        this->parser.body_limit(max_reply_bytes);
    }

    result<command_reply> run(asio::ip::tcp::endpoint const& endpoint,
                              duration timeout)
    {
        this->stream.expires_after(timeout);
        this->stream.async_connect(endpoint,
                                   [this](boost::system::error_code ec)
                                   { this->handle_connected(ec); });
        this->io.run();
        if (!this->is_connected)
        {
            return fail(errc::unavailable,
                        "no connection to the node: " +
                            this->last_error.message());
        }
        if (this->last_error == beast::error::timeout)
        {
            return fail(errc::timeout, "the node did not reply in time");
        }
        if (this->last_error)
        {
            return fail(errc::io_failure,
                        "the connection failed: " + this->last_error.message());
        }
        return parse_reply(this->parser.get().body());
    }

private:
    void handle_connected(boost::system::error_code connect_error)
    {
        this->last_error = connect_error;
        if (connect_error)
        {
            return;
        }
        this->is_connected = true;
        http::async_write(this->stream,
                          this->request,
                          [this](boost::system::error_code ec, std::size_t)
                          { this->handle_written(ec); });
    }

    void handle_written(boost::system::error_code write_error)
    {
        this->last_error = write_error;
        if (write_error)
        {
            return;
        }
        http::async_read(this->stream,
                         this->buffer,
                         this->parser,
                         [this](boost::system::error_code ec, std::size_t)
                         { this->last_error = ec; });
    }

    asio::io_context io;
    beast::tcp_stream stream;
    http::request<http::string_body> request;
    responses::response_parser parser;
    beast::flat_buffer buffer;
    boost::system::error_code last_error;
    bool is_connected = false;
};

} // namespace

result<command_reply> send_command(std::string_view node_address,
                                   std::string_view text,
                                   duration timeout)
{
    result<asio::ip::tcp::endpoint> const endpoint =
        parse_endpoint(node_address);
    if (endpoint.has_error())
    {
        return endpoint.error();
    }
    command_exchange exchange(node_address, text);
    return exchange.run(endpoint.value(), timeout);
}

} // namespace plantaintally::operator_tool
