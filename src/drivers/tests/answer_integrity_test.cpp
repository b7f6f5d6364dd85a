// An answer is complete, and belongs to its request, or the call fails.
#include "client_fixture.hpp"

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace plantaintally;
using namespace plantaintally::drivers;

TEST_CASE("a response with a truncated body is incomplete")
{
    scripted_server server(
        [](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.write(
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
            connection.close();
        });
    client_fixture fixture;
    auto const failed = failure_in(fixture.call(server.address()));
    CHECK(failed.failure == attempt_failure::incomplete_answer);
    CHECK(failed.is_written);
}

TEST_CASE("a chunked response without its last chunk is incomplete")
{
    scripted_server server(
        [](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n5\r\nhello\r\n");
            connection.close();
        });
    client_fixture fixture;
    CHECK(failure_in(fixture.call(server.address())).failure ==
          attempt_failure::incomplete_answer);
}

TEST_CASE("a close-delimited response is incomplete unless allowed")
{
    scripted_server server(
        [](test_connection& connection, std::size_t)
        {
            connection.read_message();
            connection.write("HTTP/1.1 200 OK\r\n\r\nperhaps all");
            connection.close();
        });
    client_fixture fixture;
    CHECK(failure_in(fixture.call(server.address())).failure ==
          attempt_failure::incomplete_answer);
}

TEST_CASE("a response that is cut off anywhere is never complete")
{
    std::string const start = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n";
    struct variant
    {
        std::string response;
        bool ends_by_reset;
        bool is_on_kept_connection;
        bool is_sent_in_pieces;
    };
    std::vector<variant> variants;
    for (std::string const& response :
         {start + "Content-Length: 12\r\nDate: 1\r\n\r\nhello, hello",
          start + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
          // Delimited by the end of the connection.
          start + "Content-Type: text/plain\r\n\r\n"})
    {
        for (bool const ends_by_reset : {false, true})
        {
            for (bool const is_kept : {false, true})
            {
                variants.push_back({response, ends_by_reset, is_kept, false});
                variants.push_back({response, ends_by_reset, is_kept, true});
            }
        }
    }
    for (variant const& each : variants)
    {
        // Position of the next cut, counted in bytes that are sent.
        std::atomic<std::size_t> cut = 0;
        scripted_server server(
            [&](test_connection& connection, std::size_t)
            {
                if (each.is_on_kept_connection)
                {
                    connection.read_message();
                    connection.write(named_answer(200, "0"));
                }
                if (connection.read_message().empty())
                {
                    return;
                }
                std::string_view const text =
                    std::string_view(each.response).substr(0, cut);
                std::size_t const first =
                    each.is_sent_in_pieces ? text.size() / 2 : text.size();
                connection.write(text.substr(0, first));
                if (first < text.size())
                {
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
                    connection.write(text.substr(first));
                }
                each.ends_by_reset ? connection.reset() : connection.close();
            });
        client_fixture fixture(true);
        for (cut = 0; cut < each.response.size(); ++cut)
        {
            if (each.is_on_kept_connection)
            {
                REQUIRE(status_of(fixture.call_with_id(server.address(),
                                                       "0")) == 200);
            }
            INFO(each.response.substr(0, cut)
                 << "| reset " << each.ends_by_reset << " kept "
                 << each.is_on_kept_connection);
            auto const result = fixture.call_with_id(server.address(), "1");
            CHECK(status_of(result) == 0);
            CHECK(fixture.pool.connection_count() == 0);
        }
        CHECK(server.connection_count() == each.response.size());
    }
}

TEST_CASE("a response that the connection's end delimits is complete only "
          "without a reset")
{
    for (bool const ends_by_reset : {false, true})
    {
        scripted_server server(
            [&](test_connection& connection, std::size_t)
            {
                connection.read_message();
                connection.write(
                    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nwhole");
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                ends_by_reset ? connection.reset() : connection.close();
            });
        client_fixture fixture(true);
        auto const result = fixture.call_with_id(server.address(), "1");
        CHECK(body_text(result) == (ends_by_reset ? "no answer" : "whole"));
    }
}

TEST_CASE("a late response is never returned to the next call")
{
    std::atomic<bool> may_answer = false;
    scripted_server server(
        [&](test_connection& connection, std::size_t number)
        {
            auto const request = connection.read_message();
            while (number == 0 && !may_answer)
            {
                std::this_thread::yield();
            }
            connection.write(ok_answer(body_of(request)));
        });
    client_fixture fixture;
    auto const late =
        failure_in(fixture.call(server.address(), "first", short_timeout));
    CHECK(late.failure == attempt_failure::timed_out);
    CHECK(late.is_written);
    may_answer = true;
    CHECK(body_text(fixture.call(server.address(), "second")) == "second");
    CHECK(server.connection_count() == 2);
    fixture.pool.close_idle();
}

TEST_CASE("a connection with bytes after the response is not reused")
{
    scripted_server server(
        [](test_connection& connection, std::size_t)
        {
            auto const request = connection.read_message();
            connection.write(ok_answer(body_of(request)) + ok_answer("stray"));
            connection.read_message();
        });
    client_fixture fixture;
    CHECK(body_text(fixture.call(server.address(), "one")) == "one");
    CHECK(body_text(fixture.call(server.address(), "two")) == "two");
    CHECK(server.connection_count() == 2);
}

TEST_CASE("a refusal sent twice is never the answer to a later request")
{
    // When the copy is sent, counted in requests received.
    enum class moment
    {
        with_first_answer,
        before_second_request,
        after_second_request
    };
    struct variant
    {
        // The request id that the refusal and its copy state.
        std::string id;
        std::string copied_id;
        moment copied;
        std::string second_id;
    };
    std::vector<variant> variants;
    for (auto const copied : {moment::with_first_answer,
                              moment::before_second_request,
                              moment::after_second_request})
    {
        variants.push_back({"1", "1", copied, "2"});
        variants.push_back({"1", "", copied, "2"});
        variants.push_back({"", "", copied, "2"});
        // The same request, sent again after it was refused.
        variants.push_back({"1", "1", copied, "1"});
    }
    for (variant const& each : variants)
    {
        std::atomic<bool> may_copy = false;
        std::atomic<bool> is_copied = false;
        scripted_server server(
            [&](test_connection& connection, std::size_t number)
            {
                auto const copy = named_answer(503, each.copied_id);
                if (number == 0 && !connection.read_message().empty())
                {
                    auto const first = named_answer(503, each.id);
                    connection.write(each.copied == moment::with_first_answer
                                         ? first + copy
                                         : first);
                    while (!may_copy)
                    {
                        std::this_thread::yield();
                    }
                    if (each.copied == moment::before_second_request)
                    {
                        connection.write(copy);
                    }
                    is_copied = true;
                }
                bool is_late =
                    number == 0 && each.copied == moment::after_second_request;
                for (auto next = connection.read_message(); !next.empty();
                     next = connection.read_message())
                {
                    auto const answer = named_answer(200, body_of(next));
                    connection.write(is_late ? copy + answer : answer);
                    is_late = false;
                }
            });
        client_fixture fixture;
        INFO("id '" << each.id << "', copied as '" << each.copied_id << "', "
                    << static_cast<int>(each.copied) << ", then "
                    << each.second_id);
        CHECK(status_of(fixture.call_with_id(server.address(), "1")) ==
              (each.id.empty() ? 0 : 503));
        may_copy = true;
        while (!is_copied)
        {
            std::this_thread::yield();
        }
        auto const second =
            fixture.call_with_id(server.address(), each.second_id);
        // An answer that names no request ends the call; other copies are
        // skipped, or meet no request.
        bool const ends_call = each.copied == moment::after_second_request &&
                               !each.id.empty() && each.copied_id.empty();
        if (ends_call)
        {
            CHECK(failure_in(second).is_written);
        }
        else
        {
            CHECK(status_of(second) == 200);
        }
        CHECK(status_of(fixture.call_with_id(server.address(), "3")) == 200);
        fixture.pool.close_idle();
    }
}

TEST_CASE("a refused request is repeated on another connection only")
{
    scripted_server server(
        [](test_connection& connection, std::size_t)
        {
            for (auto next = connection.read_message(); !next.empty();
                 next = connection.read_message())
            {
                connection.write(named_answer(503, body_of(next)));
            }
        });
    client_fixture fixture;
    // More often than the pool may hold connections.
    for (std::size_t repeat = 1; repeat <= 4; ++repeat)
    {
        CHECK(status_of(fixture.call_with_id(server.address(), "same")) == 503);
        CHECK(server.connection_count() == repeat);
    }
    // Other requests share connections, which don't remember without limit.
    for (int number = 0; number < 200; ++number)
    {
        auto const id = std::to_string(number);
        CHECK(status_of(fixture.call_with_id(server.address(), id)) == 503);
    }
    CHECK(server.connection_count() > 4);
    CHECK(server.connection_count() < 10);
    fixture.pool.close_idle();
}

TEST_CASE("responses to concurrent calls are not mixed up")
{
    scripted_server server(echo);
    client_fixture fixture;
    fixture.pool.warm(server.address(), 0, 50);
    std::vector<std::vector<call_result>> results(50);
    for (std::size_t number = 0; number < results.size(); ++number)
    {
        fixture.start(
            results[number], server.address(), std::to_string(number));
    }
    fixture.run_until(
        [&]
        {
            return std::all_of(results.begin(),
                               results.end(),
                               [](auto const& each) { return !each.empty(); });
        });
    for (std::size_t number = 0; number < results.size(); ++number)
    {
        REQUIRE(results[number].size() == 1);
        CHECK(body_text(results[number].front()) == std::to_string(number));
    }
    fixture.pool.close_idle();
}

TEST_CASE("a response that is not HTTP or is too large is malformed")
{
    for (std::string const& text :
         {std::string("GARBAGE\r\n\r\n"),
          "HTTP/1.1 200 OK\r\nContent-Length: 100001\r\n\r\n" +
              std::string(100'001, 'x'),
          "HTTP/1.1 200 OK\r\nX: " + std::string(5'000, 'x') + "\r\n\r\n"})
    {
        scripted_server server(
            [&](test_connection& connection, std::size_t)
            {
                connection.read_message();
                connection.write(text);
                connection.read_all();
            });
        client_fixture fixture;
        INFO(text.substr(0, 40));
        CHECK(failure_in(fixture.call(server.address())).failure ==
              attempt_failure::malformed_answer);
    }
}

TEST_CASE("the number of interim responses before a response is limited")
{
    for (bool const is_allowed : {true, false})
    {
        scripted_server server(
            [&](test_connection& connection, std::size_t)
            {
                connection.read_message();
                std::string interim;
                for (int count = 0; count < (is_allowed ? 16 : 17); ++count)
                {
                    interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
                }
                connection.write(interim + ok_answer("done"));
                connection.read_all();
            });
        client_fixture fixture;
        auto const result = fixture.call(server.address());
        if (is_allowed)
        {
            CHECK(body_text(result) == "done");
        }
        else
        {
            CHECK(failure_in(result).failure ==
                  attempt_failure::malformed_answer);
            CHECK(failure_in(result).is_written);
        }
        fixture.pool.close_idle();
    }
}

TEST_CASE("bytes without end are cut off and their connection is not reused")
{
    // A head that never ends, interim responses without end, and bodies without
    // end: declared, chunked, and until the end of the connection.
    struct endless
    {
        std::string start;
        std::string repeated;
    };
    for (endless const& each :
         {endless{"HTTP/1.1 200 OK\r\n", "X: xxxxxxxxxxxxxxxxxxxxxxxx\r\n"},
          endless{"HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"},
          endless{"", "HTTP/1.1 100 Continue\r\n\r\n"},
          endless{"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
                  std::string(500, 'x')},
          endless{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                  "8\r\nxxxxxxxx\r\n"},
          endless{"HTTP/1.1 200 OK\r\n\r\n", std::string(500, 'x')}})
    {
        std::atomic<bool> is_closed = false;
        scripted_server server(
            [&](test_connection& connection, std::size_t number)
            {
                connection.read_message();
                if (number > 0)
                {
                    connection.write(ok_answer("next"));
                    connection.read_all();
                    return;
                }
                connection.write(each.start);
                while (connection.write(each.repeated))
                {
                }
                is_closed = true;
            });
        client_fixture fixture;
        INFO(each.start << each.repeated.substr(0, 30));
        auto const started = std::chrono::steady_clock::now();
        auto const failure = failure_in(
            fixture.call(server.address(), "", std::chrono::seconds(1)));
        CHECK(failure.is_written);
        CHECK(std::chrono::steady_clock::now() - started <
              std::chrono::seconds(3));
        CHECK(fixture.pool.connection_count() == 0);
        CHECK(body_text(fixture.call(server.address())) == "next");
        auto const limit = std::chrono::steady_clock::now() + test_timeout;
        while (!is_closed && std::chrono::steady_clock::now() < limit)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        CHECK(is_closed);
    }
}
