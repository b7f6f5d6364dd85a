#include "settings/settings.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <fstream>
#include <iterator>

using namespace plantaintally;
using settings::parse_settings;

namespace
{

std::string const node_lines = "[node]\n"
                               "availability_zone = ch-mitte-1\n"
                               "peer_address = 10.0.0.1:7000\n"
                               "caller_address = 10.0.0.1:8000\n"
                               "local_address = 127.0.0.1:9000\n";
std::string const platform_lines = "[platform]\n"
                                   "address = 10.0.0.9:2379\n";
std::string const minimal_settings = node_lines + platform_lines;

std::string problem_of(std::string const& text)
{
    auto const read = parse_settings(text, "node.ini");
    return read ? std::string("none") : read.error().message;
}

} // namespace

TEST_CASE("the required keys suffice and the others keep their defaults")
{
    auto const read = parse_settings(minimal_settings, "node.ini");
    REQUIRE(read.has_value());
    auto const& node = read.value().node;
    CHECK(node.availability_zone == "ch-mitte-1");
    CHECK(settings::to_string(node.peer_address) == "10.0.0.1:7000");
    CHECK(node.contacts.empty());
    CHECK(read.value().limits.max_body_bytes == 1U << 20U);
    CHECK(read.value().log.format == settings::log_format::plain);
    CHECK(read.value().measure.is_policy_enabled);
}

TEST_CASE("values of every type are parsed")
{
    auto const read =
        parse_settings(minimal_settings + "max_connections=3\n"
                                          "# comment\n"
                                          "[log]\r\n"
                                          "format = json\r\n"
                                          "level=warning\n"
                                          "file =\n"
                                          "[limits]\n"
                                          "max_body_bytes = 0\n"
                                          "header_timeout_ms = 250\n"
                                          "[measure]\n"
                                          "policies = off\n"
                                          "[trace]\n"
                                          "file = trace.jsonl\n",
                       "node.ini");
    REQUIRE(read.has_value());
    auto const& target = read.value();
    CHECK(target.platform.max_connections == 3);
    CHECK(target.log.format == settings::log_format::json);
    CHECK(target.log.level == settings::log_level::warning);
    CHECK(target.limits.max_body_bytes == 0);
    CHECK(target.limits.header_timeout == std::chrono::milliseconds(250));
    CHECK(!target.measure.is_policy_enabled);
    CHECK(target.trace.file == "trace.jsonl");
}

TEST_CASE("contacts are parsed as a list of addresses")
{
    auto const read = parse_settings(
        node_lines + "contacts = 10.0.0.2:7000, [::1]:7001\n" + platform_lines,
        "node.ini");
    REQUIRE(read.has_value());
    CHECK(read.value().node.contacts ==
          std::vector<std::string>{"10.0.0.2:7000", "[::1]:7001"});
}

TEST_CASE("an error names the file, line, key and allowed values")
{
    CHECK(problem_of(minimal_settings + "timeout_ms = soon\n") ==
          "node.ini:8: platform.timeout_ms: 'soon' is not a whole number; "
          "allowed: a whole number from 1 to 3600000 (milliseconds)");
    CHECK(problem_of(minimal_settings + "timeout_ms = 0\n") ==
          "node.ini:8: platform.timeout_ms: 0 is out of range; "
          "allowed: a whole number from 1 to 3600000 (milliseconds)");
    CHECK(problem_of(minimal_settings +
                     "max_connections = 99999999999999999999999\n") ==
          "node.ini:8: platform.max_connections: 99999999999999999999999 is "
          "out of range; allowed: a whole number from 1 to 100000");
    CHECK(problem_of(minimal_settings + "colour = red\n") ==
          "node.ini:8: platform.colour: unknown key; "
          "allowed: address, timeout_ms, poll_interval_ms, max_connections");
    CHECK(problem_of(minimal_settings + "address = 10.0.0.9:2379\n") ==
          "node.ini:8: platform.address: duplicate key; "
          "allowed: IP:PORT with a port from 1 to 65535");
    CHECK(problem_of(minimal_settings + "[lmits]\n") ==
          "node.ini:8: lmits: unknown section; allowed: node, edge, routes, "
          "retry, platform, "
          "limits, log, trace, measure, each once");
    CHECK(problem_of(minimal_settings + "[node]\n") ==
          "node.ini:8: node: duplicate section; allowed: node, edge, routes, "
          "retry, platform, "
          "limits, log, trace, measure, each once");
    CHECK(problem_of(node_lines) ==
          "node.ini:1: platform.address: missing section [platform]; "
          "allowed: IP:PORT with a port from 1 to 65535");
    CHECK(problem_of(node_lines + "[platform]\n") ==
          "node.ini:6: platform.address: missing key; "
          "allowed: IP:PORT with a port from 1 to 65535");
    CHECK(problem_of(minimal_settings + "what is this\n") ==
          "node.ini:8: malformed line; allowed: [section], key = value, "
          "; comment");
    CHECK(problem_of("seed = 1\n") ==
          "node.ini:1: key before the first section; "
          "allowed: [section] first");
    CHECK(problem_of(minimal_settings + "[measure]\npolicies = maybe\n") ==
          "node.ini:9: measure.policies: unknown value 'maybe'; "
          "allowed: on, off");
}

// Guards against a planned stop that ends long before the platform's grace, or
// that is cut off by it.
TEST_CASE("the limit of a planned stop follows from the termination grace")
{
    auto const limit_of = [](std::string const& lines)
    {
        auto const read =
            parse_settings(node_lines + lines + platform_lines, "node.ini");
        REQUIRE(read.has_value());
        return read.value().node.stop_limit.count();
    };
    CHECK(limit_of("") == 60'000);
    CHECK(limit_of("termination_grace_s = 6\n") == 5'400);
    CHECK(limit_of("termination_grace_s = 10\n") == 9'400);
    CHECK(limit_of("termination_grace_s = 2.5\n") == 1'900);
    CHECK(limit_of("termination_grace_s = 0.5\n") == 0);
    CHECK(limit_of("termination_grace_s = 10\nstop_limit_ms = 4000\n") ==
          4'000);
    CHECK(problem_of(node_lines +
                     "termination_grace_s = 6\nstop_limit_ms = 5401\n" +
                     platform_lines) ==
          "node.ini:1: node.stop_limit_ms: 5401 ends too late for "
          "termination_grace_s; allowed: at most 5400, 600 less than the "
          "termination grace");
}

TEST_CASE("invalid addresses are rejected")
{
    auto const problem_with =
        [](std::string const& key, std::string const& value)
    {
        auto text = minimal_settings;
        auto const at = text.find(key);
        auto const end = text.find('\n', at);
        return problem_of(text.replace(at, end - at, key + " = " + value));
    };
    CHECK(problem_with("local_address", "10.0.0.1:9000")
              .starts_with("node.ini:5: node.local_address: '10.0.0.1:9000' "
                           "is not a loopback address"));
    CHECK(problem_with("caller_address", "10.0.0.1:65536")
              .starts_with("node.ini:4: node.caller_address: "
                           "'10.0.0.1:65536': port is not a number from 1 to "
                           "65535"));
    CHECK(problem_with("caller_address", "10.0.0:80")
              .starts_with("node.ini:4: node.caller_address: '10.0.0:80': "
                           "host is not an IP address"));
    CHECK(problem_with("caller_address", "10.0.0.1")
              .starts_with("node.ini:4: node.caller_address: '10.0.0.1': "
                           "port is missing"));
    CHECK(problem_with("peer_address", "0.0.0.0:7000")
              .starts_with("node.ini:3: node.peer_address: '0.0.0.0:7000' "
                           "does not identify a single node"));
    CHECK(problem_with("local_address", "[::1]:9000") == "none");
    CHECK(problem_with("caller_address", "10.0.0.1:7001")
              .starts_with("node.ini:1: node.caller_address: port 7001 is "
                           "already used by node.peer_address"));
}

// Guards against the refusal of listeners that share a port at different IP
// addresses, and against listeners that can't be open at the same time.
TEST_CASE("listeners may share a port unless their addresses overlap")
{
    auto const problem_with = [](std::string const& local_address,
                                 std::string const& caller_address,
                                 std::string const& edge_lines)
    {
        return problem_of("[node]\n"
                          "availability_zone = ch-mitte-1\n"
                          "peer_address = 10.0.0.1:7000\n"
                          "caller_address = " +
                          caller_address +
                          "\nlocal_address = " + local_address + "\n[edge]\n" +
                          edge_lines + platform_lines);
    };
    for (auto const* const local_address :
         {"127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:8000", "[::1]:8000"})
    {
        INFO(local_address);
        CHECK(problem_with(local_address, "10.0.0.1:8000", "") == "none");
        CHECK(problem_with(local_address,
                           "10.0.0.1:8000",
                           "report_address = 10.0.0.2:8000\n"
                           "ready_address = 10.0.0.1:9000\n"
                           "metrics_address = 10.0.0.1:9001\n") == "none");
    }
    CHECK(problem_with("127.0.0.1:8000", "0.0.0.0:8000", "")
              .starts_with("node.ini:1: node.local_address: port 8000 is "
                           "already used by node.caller_address"));
    CHECK(problem_with("127.0.0.1:8000", "[::]:8000", "")
              .starts_with("node.ini:1: node.local_address: port 8000 is "
                           "already used by node.caller_address"));
    CHECK(problem_with("[::1]:8000", "[0:0::1]:8000", "")
              .starts_with("node.ini:1: node.local_address: port 8000 is "
                           "already used by node.caller_address"));
    CHECK(problem_with("127.0.0.1:9000", "10.0.0.1:7000", "")
              .starts_with("node.ini:1: node.caller_address: port 7000 is "
                           "already used by node.peer_address"));
    CHECK(problem_with("127.0.0.1:9000",
                       "10.0.0.1:8000",
                       "ready_address = 10.0.0.1:8000\n")
              .starts_with("node.ini:6: edge.ready_address: port 8000 is "
                           "already used by node.caller_address"));
}

TEST_CASE("an unreadable file is reported")
{
    auto const read = settings::load_settings("no/such/file.ini");
    REQUIRE(!read.has_value());
    CHECK(read.error().message ==
          "no/such/file.ini:1: settings: the file can't be read; "
          "allowed: a readable INI file");
}

TEST_CASE("arbitrary text yields settings or an error message")
{
    auto const check_problem = [](std::string const& text)
    {
        auto const problem = problem_of(text);
        RC_ASSERT(!problem.empty());
    };
    CHECK(rc::check(check_problem));
    CHECK(rc::check(
        [&]
        {
            auto text = minimal_settings + "[limits]\nmax_body_bytes = 5\n";
            auto const where = *rc::gen::inRange<std::size_t>(0, text.size());
            text[where] = *rc::gen::arbitrary<char>();
            text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
            check_problem(text);
        }));
}

TEST_CASE("every key is documented")
{
    std::ifstream page("docs/SETTINGS.md");
    std::string const text(std::istreambuf_iterator<char>(page), {});
    for (auto const& key : settings::known_keys())
    {
        INFO(key);
        CHECK(text.find("`" + key + "`") != std::string::npos);
    }
}
