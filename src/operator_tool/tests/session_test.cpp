#include "operator_tool/session.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sstream>
#include <thread>

using namespace plantaintally;
using namespace plantaintally::operator_tool;

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

// A node that replies to one command with a fixed body. If the body is empty,
// it closes the connection without a reply.
class fake_node
{
public:
    explicit fake_node(std::string reply_body)
        : body(std::move(reply_body)),
          acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0}),
          server([this] { this->serve(); })
    {
    }

    ~fake_node()
    {
        this->server.join();
    }

    fake_node(fake_node const&) = delete;
    fake_node& operator=(fake_node const&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

    std::string received_text;

private:
    void serve()
    {
        boost::beast::tcp_stream stream(this->acceptor.accept());
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::read(stream, buffer, request);
        this->received_text = nlohmann::json::parse(request.body())["text"];
        if (this->body.empty())
        {
            return;
        }
        http::response<http::string_body> response(http::status::ok, 11);
        response.body() = this->body;
        response.prepare_payload();
        http::write(stream, response);
    }

    std::string body;
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor;
    std::thread server;
};

session_options options_for(std::string address)
{
    session_options options;
    options.node_address = std::move(address);
    options.in_force_timeout = duration(0);
    return options;
}

} // namespace

TEST_CASE("an invalid statement is not sent")
{
    std::ostringstream out;
    std::ostringstream errors;
    exit_code const code =
        run_command(options_for("127.0.0.1:1"), "show all", out, errors);
    CHECK(code == exit_code::invalid);
    CHECK(errors.str().find("column 6") == 0);
}

TEST_CASE("a node that refuses the connection is reported as unreachable")
{
    std::ostringstream out;
    std::ostringstream errors;
    exit_code const code =
        run_command(options_for("127.0.0.1:1"), "show work", out, errors);
    CHECK(code == exit_code::unreachable);
    CHECK(errors.str().find("no connection to the node") == 0);
}

TEST_CASE("the status of the reply becomes the exit code")
{
    std::ostringstream out;
    std::ostringstream errors;
    exit_code code = exit_code::ok;
    std::string received;
    {
        fake_node node(R"({"status":"conflict","message":"revision is 8"})");
        code = run_command(
            options_for(node.address()), "remove rank x", out, errors);
        received = node.received_text;
    }
    CHECK(code == exit_code::conflict);
    CHECK(out.str() == "conflict: revision is 8\n");
    CHECK(received.find("remove rank x with id ") == 0);
}

TEST_CASE("a change whose reply is lost is reported as unknown, with its id")
{
    std::ostringstream out;
    std::ostringstream errors;
    exit_code code = exit_code::ok;
    {
        fake_node node("");
        code = run_command(options_for(node.address()),
                           "drain 127.0.0.1:7 with id c-9",
                           out,
                           errors);
    }
    CHECK(code == exit_code::unknown);
    CHECK(errors.str().find("with id c-9") != std::string::npos);
}

TEST_CASE("a reply that is not JSON is reported as an error")
{
    std::ostringstream out;
    std::ostringstream errors;
    exit_code code = exit_code::ok;
    {
        fake_node node("not json");
        code =
            run_command(options_for(node.address()), "show ranks", out, errors);
    }
    CHECK(code == exit_code::unreachable);
    CHECK(errors.str() == "the reply is not a JSON object\n");
}

TEST_CASE("a script stops at its first failure and prints the line number")
{
    std::istringstream script("# ranks\n\nshow nothing\nshow ranks\n");
    std::ostringstream out;
    std::ostringstream errors;
    exit_code const code =
        run_script(options_for("127.0.0.1:1"), script, out, errors);
    CHECK(code == exit_code::invalid);
    CHECK(errors.str().find("line 3: command failed; the remaining lines "
                            "were not run") != std::string::npos);
}
