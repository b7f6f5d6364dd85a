// The stand-in for the platform: its key-value store over HTTP, with fault
// injection.
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

// Faults that can be switched on and off while the platform runs.
struct platform_faults
{
    // Delay before every answer.
    std::uint32_t slow_ms = 0;
    // Drops the connection of every call without serving it.
    bool is_down = false;
    // Performs each write, then drops the connection without an answer.
    bool loses_answers = false;
    // Fraction of calls answered with 503, per thousand.
    std::uint32_t reject_permille = 0;
};

// Calls served since the start, by type. A watch counts once, however long it
// waits.
struct platform_counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lease_calls = 0;
    // Size of the largest value that a write call carried.
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

    // Removes expired leases periodically; never returns.
    boost::asio::awaitable<void> run_lease_expiry();

private:
    boost::asio::awaitable<http_reply> handle_kv(http_request request);
    // Waits up to `wait_ms` for a revision of the key above `after_revision`.
    // Answers 304 if there is none by then, 404 if the key was removed.
    boost::asio::awaitable<http_reply>
    watch(std::string key, std::uint64_t after_revision, std::uint32_t wait_ms);
    http_reply read(std::string const& key);
    http_reply write(std::string const& key, std::string const& body);
    http_reply handle_lease(http_request const& request);
    http_reply change_faults(std::string const& body);
    http_reply report() const;

    kv_store store;
    wait_list watchers;
    platform_faults faults;
    platform_counters counters;
    std::mt19937_64 random;
};

} // namespace plantaintally::standin
