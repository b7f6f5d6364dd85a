#include "standin/platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

using namespace plantaintally::standin;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

// Calls the platform's request handler directly, without sockets.
class platform_call
{
public:
    http_reply operator()(http::verb method,
                          std::string const& target,
                          std::string const& body = "")
    {
        http_request request(method, target, 11);
        request.body() = body;
        asio::io_context io;
        auto reply = asio::co_spawn(
            io, this->service.handle(std::move(request)), asio::use_future);
        io.run();
        return reply.get();
    }

private:
    platform service{1};
};

} // namespace

TEST_CASE("a write whose answer is lost has taken effect")
{
    platform_call call;
    call(http::verb::post, "/standin/faults", R"({"lose_answers":true})");
    auto const lost = call(http::verb::put,
                           "/v1/kv/a%2Fb",
                           R"({"value":"v","expected_revision":0,"lease":""})");
    CHECK(lost.is_dropped);

    auto const read = call(http::verb::get, "/v1/kv/a%2Fb");
    CHECK_FALSE(read.is_dropped);
    CHECK(read.response.result_int() == 200);
    CHECK(read.response.body() == R"({"key":"a/b","revision":1,"value":"v"})");
}

TEST_CASE("a platform that is down drops calls without executing them")
{
    platform_call call;
    call(http::verb::post, "/standin/faults", R"({"down":true})");
    CHECK(call(http::verb::put, "/v1/kv/a", R"({"value":"v"})").is_dropped);

    call(http::verb::post, "/standin/faults", R"({"down":false})");
    CHECK(call(http::verb::get, "/v1/kv/a").response.result_int() == 404);
}

TEST_CASE("a watch answers at once if the key is newer, otherwise after its "
          "wait time")
{
    platform_call call;
    call(http::verb::put, "/v1/kv/a", R"({"value":"v"})");
    auto const newer = call(http::verb::get, "/v1/kv/a?after=0&wait_ms=9999");
    CHECK(newer.response.result_int() == 200);

    auto const same = call(http::verb::get, "/v1/kv/a?after=1&wait_ms=1");
    CHECK(same.response.result_int() == 304);
}

TEST_CASE("calls are counted by type")
{
    platform_call call;
    call(http::verb::put, "/v1/kv/a", R"({"value":"v"})");
    call(http::verb::get, "/v1/kv/a");
    call(http::verb::get, "/v1/kv/a?after=1&wait_ms=1");
    call(http::verb::post, "/v1/leases", R"({"ttl_ms":1000})");
    auto const counters = call(http::verb::get, "/v1/counters");
    CHECK(counters.response.body() ==
          R"({"keys":1,"largest_value_bytes":1,"lease_calls":1,"reads":1,)"
          R"("watches":1,"writes":1})");
}
