#include "standin/upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

using namespace plantaintally::standin;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

upstream_options one_slot_options()
{
    upstream_options options;
    options.slots = 1;
    options.backlog = 1;
    upstream_route book;
    book.method = "POST";
    book.path = "/book";
    book.service_ms = 1;
    book.has_effect = true;
    options.routes.push_back(book);
    return options;
}

http_request booking(std::string const& id)
{
    http_request request(http::verb::post, "/book", 11);
    request.set("X-Request-Id", id);
    return request;
}

} // namespace

TEST_CASE("requests beyond the slots and the backlog are refused as not run")
{
    upstream service(one_slot_options());
    asio::io_context io;
    std::vector<std::future<http_reply>> replies;
    for (auto const* id : {"r1", "r2", "r3"})
    {
        replies.push_back(
            asio::co_spawn(io, service.handle(booking(id)), asio::use_future));
    }
    io.run();
    CHECK(replies[0].get().response.result_int() == 200);
    CHECK(replies[1].get().response.result_int() == 200);
    auto const refused = replies[2].get().response;
    CHECK(refused.result_int() == 503);
    CHECK(refused["Plantaintally-Verdict"] == "not-run");
}

TEST_CASE("a request whose deadline has passed is refused as not run")
{
    upstream service(one_slot_options());
    asio::io_context io;
    auto late = booking("r1");
    late.set("Plantaintally-Deadline-Ms", "0");
    auto reply =
        asio::co_spawn(io, service.handle(std::move(late)), asio::use_future);
    io.run();
    auto const refused = reply.get().response;
    CHECK(refused.result_int() == 503);
    CHECK(refused["Plantaintally-Verdict"] == "not-run");
}

TEST_CASE("routes are parsed from JSON, and malformed input is an error")
{
    auto const routes = parse_routes(
        R"([{"method":"POST","path":"/a","effect":true,)"
        R"("calls":[{"service":"s","method":"POST","path":"/b"}]}])");
    REQUIRE(routes.has_value());
    CHECK(routes.value().at(0).has_effect);
    CHECK(routes.value().at(0).calls.at(0).service == "s");

    CHECK_FALSE(parse_routes(R"([{"method":"POST"}])").has_value());
    CHECK_FALSE(parse_routes("[").has_value());
}
