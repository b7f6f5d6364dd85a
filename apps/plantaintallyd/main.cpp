// The daemon: runs one node beside an upstream.

#include "base/hash.hpp"
#include "drivers/runtime.hpp"
#include "logging/logging.hpp"
#include "node/node.hpp"
#include "platform/dialect.hpp"
#include "settings/settings.hpp"

#include <gflags/gflags.h>
#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <string>
#include <utility>

DEFINE_string(settings,
              gflags::StringFromEnv("PLANTAINTALLY_CONFIG", ""),
              "settings file (INI); see docs/SETTINGS.md");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace
{

using namespace plantaintally;

// Exit codes of the daemon.
constexpr int exit_clean = 0;
constexpr int exit_start_failed = 1;
constexpr int exit_bad_settings = 2;

constexpr char const* usage =
    "runs the node beside one upstream.\n\n"
    "  plantaintallyd --settings FILE\n"
    "  plantaintallyd --settings FILE --check_settings\n\n"
    "SIGTERM and SIGINT request a planned stop: the node accepts no new "
    "requests, finishes those in flight and exits with code 0. Exit code 1: a "
    "required listener or a file could not be opened, or a flag is unknown. "
    "Exit code 2: the settings are missing or invalid, and nothing was "
    "started.";

// Microseconds since the Unix epoch, so that the incarnation is higher than
// that of every earlier process at this address.
std::uint64_t make_incarnation()
{
    auto const since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
            .count());
}

node::options make_options(settings::node_settings const& node_settings)
{
    node::options startup_options;
    startup_options.self.address =
        settings::to_string(node_settings.node.peer_address);
    startup_options.self.incarnation = make_incarnation();
    startup_options.availability_zone = node_settings.node.availability_zone;
    startup_options.contacts = node_settings.node.contacts;
    startup_options.seed = node_settings.node.seed;
    if (startup_options.seed == 0)
    {
        startup_options.seed = stable_hash(startup_options.self.address,
                                           startup_options.self.incarnation);
    }
    startup_options.stop_limit = node_settings.node.stop_limit;
    startup_options.stop_linger = node_settings.node.stop_linger;
    startup_options.accepts_idempotency_keys =
        node_settings.node.accepts_idempotency_keys;
    startup_options.has_routes =
        node_settings.routes.source == settings::route_source::store;
    startup_options.upstream_silence_timeout =
        node_settings.edge.upstream_silence_timeout;
    startup_options.configuration_poll_interval =
        node_settings.platform.poll_interval;
    startup_options.fleet_budget = {node_settings.retry.budget_ratio,
                                    node_settings.retry.budget_extra};
    startup_options.is_policy_enabled = node_settings.measure.is_policy_enabled;
    return startup_options;
}

result<void> start_log(settings::node_settings const& node_settings)
{
    logging::options log_options;
    log_options.line_format =
        node_settings.log.format == settings::log_format::json
            ? logging::format::json
            : logging::format::plain;
    log_options.min_level =
        static_cast<logging::level>(node_settings.log.level);
    log_options.file = node_settings.log.file;
    log_options.uses_stdout =
        node_settings.log.stream == settings::log_stream::standard_output;
    log_options.node = settings::to_string(node_settings.node.peer_address);
    return logging::start(log_options);
}

int report_failure(std::string const& message, int exit_code)
{
    std::cerr << message << '\n';
    return exit_code;
}

// Raises the limit on open file descriptors to the hard limit, since the
// connection limits of the listeners usually exceed the soft limit.
void raise_descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
    {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

drivers::dialect make_dialect(settings::node_settings const& node_settings)
{
    return node_settings.edge.dialect == settings::dialect_name::platform
               ? platform::make_dialect()
               : drivers::native_dialect();
}

int run_node(settings::node_settings const& node_settings)
{
    raise_descriptor_limit();
    // A closed reader of the log stream must not terminate the node.
    std::signal(SIGPIPE, SIG_IGN);
    auto const log = start_log(node_settings);
    if (!log)
    {
        return report_failure(log.error().message, exit_start_failed);
    }
    auto const startup_options = make_options(node_settings);
    auto state = node::make_state(startup_options);
    drivers::runtime runtime(node_settings,
                             startup_options.self,
                             {[&](event const& happened, moment const& now)
                              { return node::reduce(state, happened, now); },
                              [&] { return node::collect_statistics(state); },
                              [&]
                              {
                                  return state.clock.last;
                              }},
                             make_dialect(node_settings));
    runtime.on_reload([] { return settings::load_settings(FLAGS_settings); });
    auto const opened = runtime.open();
    if (!opened)
    {
        return report_failure(opened.error().message, exit_start_failed);
    }
    logging::write(
        {logging::level::info,
         "drivers",
         "node-started",
         {{"incarnation", std::to_string(startup_options.self.incarnation)},
          {"availability_zone", startup_options.availability_zone},
          {"seed", std::to_string(startup_options.seed)}}});
    runtime.run();
    logging::write({logging::level::info, "drivers", "node-stopped", {}});
    logging::flush();
    return exit_clean;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetVersionString(PLANTAINTALLY_VERSION);
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 1 || FLAGS_settings.empty())
    {
        return report_failure("plantaintallyd: --settings FILE is required, "
                              "without further arguments; see --help",
                              exit_bad_settings);
    }
    auto const node_settings = settings::load_settings(FLAGS_settings);
    if (!node_settings)
    {
        return report_failure(node_settings.error().message, exit_bad_settings);
    }
    if (FLAGS_check_settings)
    {
        std::cout << FLAGS_settings << ": ok\n";
        return exit_clean;
    }
    return run_node(node_settings.value());
}
