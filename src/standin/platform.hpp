// The stand-in of the platform: its key-value service over HTTP, with faults.
#pragma once

#include "standin/internal/http_server.hpp"
#include "standin/internal/wait_list.hpp"
#include "standin/kv_store.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace plantaintally::standin
{

// Faults that can be switched while the platform runs.
struct platform_faults
{
    // Added to every answer.
    std::uint32_t slow_ms = 0;
    // Drop every connection without doing anything.
    bool is_down = false;
    // Perform each write, then drop the connection.
    bool loses_answers = false;
    // Share of calls answered with 503, in thousandths.
    std::uint32_t reject_permille = 0;
};

// Calls served since the start, by kind; a waiting watch counts as one.
struct platform_counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lease_calls = 0;
    std::uint64_t largest_value_bytes = 0;
};

// Must outlive the io_context that runs its coroutines.
class platform
{
public:
    explicit platform(std::uint64_t seed);

    // Serves one request of the key-value API or of the control endpoints
    // (/standin/faults, /standin/report).
    boost::asio::awaitable<http_reply> handle(http_request request);

    // Removes lapsed leases, for ever.
    boost::asio::awaitable<void> run_lease_clock();

private:
    boost::asio::awaitable<http_reply> handle_kv(http_request request);
    boost::asio::awaitable<http_reply>
    watch(std::string key, std::uint64_t after_revision, std::uint32_t wait_ms);
    http_reply read(std::string const& key);
    http_reply write(std::string const& key, std::string const& body);
    http_reply call_lease(http_request const& request);
    http_reply change_faults(std::string const& body);
    http_reply report() const;

    kv_store store;
    wait_list watchers;
    platform_faults faults;
    platform_counters counters;
    std::mt19937_64 random;
};

} // namespace plantaintally::standin
