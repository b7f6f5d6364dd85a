// Stand-ins for the platform, an upstream or a caller in tests, demos and
// measurements.
#include "standin/programs.hpp"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

DEFINE_string(listen,
              "",
              "host:port to listen at; for a caller, its control endpoint");
DEFINE_uint64(seed, 1, "seed of the random number generator");
DEFINE_string(service, "", "upstream: name of its service");
DEFINE_string(name, "", "upstream: instance name in answers and reports");
DEFINE_string(node, "", "upstream: host:port of its node's local listener");
DEFINE_string(routes, "", "upstream: JSON file of its routes");
DEFINE_uint32(slots,
              10,
              "upstream: maximum number of requests served concurrently");
DEFINE_uint32(
    backlog,
    20,
    "upstream: requests that may wait for a slot; further ones are shed");
DEFINE_uint32(connections, 100, "upstream: maximum number of open connections");
DEFINE_uint32(
    cold_start_ms,
    0,
    "upstream: time after the start until it serves at full speed, in "
    "milliseconds");
DEFINE_double(
    cold_factor,
    4,
    "upstream: factor on service times at the start, falling to 1 during "
    "the cold start");
DEFINE_double(contention,
              0,
              "upstream: relative increase of service times at a full backlog");
DEFINE_string(effects_log,
              "",
              "upstream: file to which each effect is appended");
DEFINE_string(plan, "", "caller: JSON file of request classes and load phases");
DEFINE_string(report, "", "caller: file for the summary; default: stdout");
DEFINE_string(records,
              "",
              "caller: file for a record of each request, as JSON lines");

namespace
{

namespace standin = plantaintally::standin;

constexpr int usage_exit_code = 2;
constexpr char const* usage =
    "standin platform|upstream|caller [flags]; see standin --help";

std::optional<std::string> read_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

int report_usage_error(std::string const& message)
{
    std::cerr << "standin: " << message << '\n';
    return usage_exit_code;
}

int run_upstream()
{
    standin::upstream_options options;
    options.service = FLAGS_service;
    options.name = FLAGS_name;
    options.address = FLAGS_listen;
    options.node_address = FLAGS_node;
    options.slots = FLAGS_slots;
    options.backlog = FLAGS_backlog;
    options.connections = FLAGS_connections;
    options.cold_start_ms = FLAGS_cold_start_ms;
    options.cold_factor = FLAGS_cold_factor;
    options.contention = FLAGS_contention;
    options.seed = FLAGS_seed;
    options.effects_log = FLAGS_effects_log;
    auto const text = read_file(FLAGS_routes);
    if (!text)
    {
        return report_usage_error("can't read the file of --routes: " +
                                  FLAGS_routes);
    }
    auto routes = standin::parse_routes(*text);
    if (!routes)
    {
        return report_usage_error(FLAGS_routes + ": " + routes.error().message);
    }
    options.routes = routes.value();
    return standin::run_upstream(options);
}

int run_caller()
{
    auto const text = read_file(FLAGS_plan);
    if (!text)
    {
        return report_usage_error("can't read the file of --plan: " +
                                  FLAGS_plan);
    }
    auto const plan = standin::parse_caller_plan(*text);
    if (!plan)
    {
        return report_usage_error(FLAGS_plan + ": " + plan.error().message);
    }
    return standin::run_caller(plan.value(),
                               {FLAGS_listen, FLAGS_report, FLAGS_records});
}

int run(std::string const& role)
{
    if (role == "platform")
    {
        return standin::run_platform(FLAGS_listen, FLAGS_seed);
    }
    if (role == "upstream")
    {
        return run_upstream();
    }
    if (role == "caller")
    {
        return run_caller();
    }
    return report_usage_error(usage);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2)
    {
        return report_usage_error(usage);
    }
    try
    {
        return run(argv[1]);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "standin: " << failure.what() << '\n';
        return 1;
    }
}
