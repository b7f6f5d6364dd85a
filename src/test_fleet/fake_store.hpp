// A stand-in for the platform's key-value service in virtual time.
#pragma once

#include "base/moment.hpp"
#include "messages/store_types.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace plantaintally::test_fleet
{

// Keys with compare-and-swap, leases, and the failures that the platform's
// service has.
class fake_store
{
public:
    // Carries the request out and returns its result.
    store_result handle(store_request const& request, instant now);

    // The value of a key, empty if there is none.
    std::string value_of(std::string const& key) const;

    // Every call fails, and nothing is written.
    bool is_down = false;
    // This many of the next writes take effect, but their answers are lost.
    std::uint32_t answers_to_lose = 0;
    // Every answer is this late.
    duration delay = std::chrono::milliseconds(2);
    // Calls so far.
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::string lease;
    };

    store_result read(std::string const& key) const;
    store_result write(store_compare_and_set const& request);
    store_result watch(store_watch const& request);
    store_result grant(store_grant_lease const& request, instant now);
    store_result renew(store_renew_lease const& request, instant now);
    void expire_leases(instant now);

    struct lease_state
    {
        duration time_to_live{};
        instant expires_at{};
    };

    std::map<std::string, item> items;
    std::map<std::string, lease_state> leases;
    std::uint64_t last_revision = 0;
    std::uint64_t last_lease = 0;
};

} // namespace plantaintally::test_fleet
