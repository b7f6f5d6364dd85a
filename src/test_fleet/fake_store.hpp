// A fake of the platform's key-value store that runs in virtual time.
#pragma once

#include "base/moment.hpp"
#include "messages/store_types.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace plantaintally::test_fleet
{

// Keys with compare-and-set, leases, and simulated failures of the store.
class fake_store
{
public:
    // Executes the request at the virtual time `now` and returns its result.
    store_result handle(store_request const& request, instant now);

    // The value of a key; empty if the key does not exist.
    std::string value_of(std::string const& key) const;

    // Returns to an older copy: all later writes are lost, and their revisions
    // are given out again. The era rises.
    void restore(fake_store const& older);

    // While true, every call fails and nothing is written.
    bool is_down = false;
    // Number of coming writes that take effect but whose answers are lost.
    std::uint32_t answers_to_lose = 0;
    std::uint64_t era = 1;
    // Time from a call to its answer.
    duration delay = std::chrono::milliseconds(2);
    // Number of calls received: compare-and-set calls count as writes, all
    // others as reads.
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
