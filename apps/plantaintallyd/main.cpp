// The daemon: one node beside an upstream.

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
DEFINE_bool(check_settings, false, "check the settings file and end");

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
    "SIGTERM and SIGINT ask for a planned stop: no new work is taken, what is "
    "in flight is finished, and the exit code is 0. Exit code 1: a listener "
    "or a file could not be opened, or a flag is unknown. Exit code 2: the "
    "settings are wrong or missing, and nothing was started.";

// A higher incarnation than that of every earlier process at this address.
std::uint64_t make_incarnation()
{
    auto const since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
            .count());
}

node::options make_options(settings::node_settings const& chosen)
{
    node::options own;
    own.self.address = settings::to_string(chosen.node.peer_address);
    own.self.incarnation = make_incarnation();
    own.availability_zone = chosen.node.availability_zone;
    own.contacts = chosen.node.contacts;
    own.seed = chosen.node.seed;
    if (own.seed == 0)
    {
        own.seed = stable_hash(own.self.address, own.self.incarnation);
    }
    own.stop_limit = chosen.node.stop_limit;
    own.stop_linger = chosen.node.stop_linger;
    own.takes_keys = chosen.node.takes_keys;
    own.has_routes = chosen.routes.source == settings::route_source::store;
    own.upstream_silence = chosen.edge.upstream_silence;
    own.configuration_poll_interval = chosen.platform.poll_interval;
    own.fleet_budget = {chosen.retry.budget_ratio, chosen.retry.budget_extra};
    own.is_policy_enabled = chosen.measure.is_policy_enabled;
    return own;
}

result<void> start_log(settings::node_settings const& chosen)
{
    logging::options wanted;
    wanted.form = chosen.log.format == settings::log_format::json
                      ? logging::format::json
                      : logging::format::plain;
    wanted.least = static_cast<logging::level>(chosen.log.level);
    wanted.file = chosen.log.file;
    wanted.is_to_stdout =
        chosen.log.stream == settings::log_stream::standard_output;
    wanted.node = settings::to_string(chosen.node.peer_address);
    return logging::start(wanted);
}

int report(std::string const& problem, int exit_code)
{
    std::cerr << problem << '\n';
    return exit_code;
}

// Takes as many file descriptors as the system allows, since the listeners'
// limits usually exceed the default.
void raise_descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
    {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

drivers::dialect make_dialect(settings::node_settings const& chosen)
{
    return chosen.edge.dialect == settings::dialect_name::platform
               ? platform::make_dialect()
               : drivers::native_dialect();
}

int run_node(settings::node_settings const& chosen)
{
    raise_descriptor_limit();
    // A log whose reader has gone must not end the node.
    std::signal(SIGPIPE, SIG_IGN);
    auto const log = start_log(chosen);
    if (!log)
    {
        return report(log.error().message, exit_start_failed);
    }
    auto const own = make_options(chosen);
    auto state = node::make_state(own);
    drivers::runtime driven(chosen,
                            own.self,
                            {[&](event const& happened, moment const& now)
                             { return node::reduce(state, happened, now); },
                             [&] { return node::collect_statistics(state); },
                             [&]
                             {
                                 return state.clock.last;
                             }},
                            make_dialect(chosen));
    driven.on_reload([] { return settings::load_settings(FLAGS_settings); });
    auto const opened = driven.open();
    if (!opened)
    {
        return report(opened.error().message, exit_start_failed);
    }
    logging::write({logging::level::info,
                    "drivers",
                    "node-started",
                    {{"incarnation", std::to_string(own.self.incarnation)},
                     {"availability_zone", own.availability_zone},
                     {"seed", std::to_string(own.seed)}}});
    driven.run();
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
        return report("plantaintallyd: --settings FILE is wanted; see --help",
                      exit_bad_settings);
    }
    auto const chosen = settings::load_settings(FLAGS_settings);
    if (!chosen)
    {
        return report(chosen.error().message, exit_bad_settings);
    }
    if (FLAGS_check_settings)
    {
        std::cout << FLAGS_settings << ": ok\n";
        return exit_clean;
    }
    return run_node(chosen.value());
}
