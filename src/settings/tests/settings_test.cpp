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
std::string const least = node_lines + platform_lines;

std::string problem_of(std::string const& text)
{
    auto const read = parse_settings(text, "node.ini");
    return read ? std::string("none") : read.error().message;
}

} // namespace

TEST_CASE("the required keys suffice and the others keep their defaults")
{
    auto const read = parse_settings(least, "node.ini");
    REQUIRE(read.has_value());
    auto const& node = read.value().node;
    CHECK(node.availability_zone == "ch-mitte-1");
    CHECK(settings::to_string(node.peer_address) == "10.0.0.1:7000");
    CHECK(node.contacts.empty());
    CHECK(read.value().limits.max_body_bytes == 1U << 20U);
    CHECK(read.value().log.format == settings::log_format::plain);
    CHECK(read.value().measure.is_policy_enabled);
}

TEST_CASE("every kind of value is taken over")
{
    auto const read = parse_settings(least + "max_connections=3\n"
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

TEST_CASE("contacts are a list of addresses")
{
    auto const read = parse_settings(
        node_lines + "contacts = 10.0.0.2:7000, [::1]:7001\n" + platform_lines,
        "node.ini");
    REQUIRE(read.has_value());
    CHECK(read.value().node.contacts ==
          std::vector<std::string>{"10.0.0.2:7000", "[::1]:7001"});
}

TEST_CASE("a fault is told with file, line, key and what is allowed")
{
    CHECK(problem_of(least + "timeout_ms = soon\n") ==
          "node.ini:8: platform.timeout_ms: 'soon' is no whole number; "
          "allowed: a whole number from 1 to 3600000 (milliseconds)");
    CHECK(problem_of(least + "timeout_ms = 0\n") ==
          "node.ini:8: platform.timeout_ms: 0 is out of range; "
          "allowed: a whole number from 1 to 3600000 (milliseconds)");
    CHECK(problem_of(least + "max_connections = 99999999999999999999999\n") ==
          "node.ini:8: platform.max_connections: 99999999999999999999999 is "
          "out of range; allowed: a whole number from 1 to 100000");
    CHECK(problem_of(least + "colour = red\n") ==
          "node.ini:8: platform.colour: unknown key; "
          "allowed: address, timeout_ms, poll_interval_ms, max_connections");
    CHECK(problem_of(least + "address = 10.0.0.9:2379\n") ==
          "node.ini:8: platform.address: key stands twice; "
          "allowed: IP:PORT with a port from 1 to 65535");
    CHECK(problem_of(least + "[lmits]\n") ==
          "node.ini:8: lmits: unknown section; allowed: node, edge, routes, "
          "retry, platform, "
          "limits, log, trace, measure, each once");
    CHECK(
        problem_of(least + "[node]\n") ==
        "node.ini:8: node: section stands twice; allowed: node, edge, routes, "
        "retry, platform, "
        "limits, log, trace, measure, each once");
    CHECK(problem_of(node_lines) ==
          "node.ini:1: platform.address: missing section [platform]; "
          "allowed: IP:PORT with a port from 1 to 65535");
    CHECK(problem_of(node_lines + "[platform]\n") ==
          "node.ini:6: platform.address: missing key; "
          "allowed: IP:PORT with a port from 1 to 65535");
    CHECK(problem_of(least + "what is this\n") ==
          "node.ini:8: malformed line; allowed: [section], key = value, "
          "; comment");
    CHECK(problem_of("seed = 1\n") ==
          "node.ini:1: key before the first section; "
          "allowed: [section] first");
    CHECK(problem_of(least + "[measure]\npolicies = maybe\n") ==
          "node.ini:9: measure.policies: unknown value 'maybe'; "
          "allowed: on, off");
}

TEST_CASE("addresses are checked")
{
    auto const with = [](std::string const& key, std::string const& value)
    {
        auto text = least;
        auto const at = text.find(key);
        auto const end = text.find('\n', at);
        return problem_of(text.replace(at, end - at, key + " = " + value));
    };
    CHECK(with("local_address", "10.0.0.1:9000")
              .starts_with("node.ini:5: node.local_address: '10.0.0.1:9000' "
                           "is not on loopback"));
    CHECK(with("caller_address", "10.0.0.1:65536")
              .starts_with("node.ini:4: node.caller_address: "
                           "'10.0.0.1:65536': its port is out of range"));
    CHECK(with("caller_address", "10.0.0:80")
              .starts_with("node.ini:4: node.caller_address: '10.0.0:80': "
                           "its host is no IP address"));
    CHECK(with("caller_address", "10.0.0.1")
              .starts_with("node.ini:4: node.caller_address: '10.0.0.1': "
                           "has no port"));
    CHECK(with("peer_address", "0.0.0.0:7000")
              .starts_with("node.ini:3: node.peer_address: '0.0.0.0:7000' "
                           "names no single node"));
    CHECK(with("local_address", "[::1]:9000") == "none");
    CHECK(with("caller_address", "10.0.0.1:7001")
              .starts_with("node.ini:1: node.caller_address: port 7001 is "
                           "taken by peer_address"));
}

TEST_CASE("a file that can't be read is told")
{
    auto const read = settings::load_settings("no/such/file.ini");
    REQUIRE(!read.has_value());
    CHECK(read.error().message ==
          "no/such/file.ini:1: settings: the file can't be read; "
          "allowed: a readable INI file");
}

TEST_CASE("arbitrary text gives settings or one line that says what is wrong")
{
    auto const one_line = [](std::string const& text)
    {
        auto const problem = problem_of(text);
        RC_ASSERT(!problem.empty());
    };
    CHECK(rc::check(one_line));
    CHECK(rc::check(
        [&]
        {
            auto text = least + "[limits]\nmax_body_bytes = 5\n";
            auto const where = *rc::gen::inRange<std::size_t>(0, text.size());
            text[where] = *rc::gen::arbitrary<char>();
            text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
            one_line(text);
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
