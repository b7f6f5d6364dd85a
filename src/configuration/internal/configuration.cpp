#include "configuration/configuration.hpp"

#include "configuration/internal/gossip.hpp"
#include "configuration/internal/initial_read.hpp"
#include "configuration/internal/relay.hpp"
#include "configuration/internal/submission.hpp"

#include <algorithm>

namespace plantaintally::configuration
{

document const& current(state const& configuration)
{
    return configuration.in_force;
}

bool is_ready(state const& configuration)
{
    return configuration.is_ready;
}

std::optional<duration> confirmed_age(state const& configuration, instant now)
{
    if (!configuration.confirmed_at)
    {
        return std::nullopt;
    }
    return now - *configuration.confirmed_at;
}

void start(state& configuration, step& current)
{
    if (configuration.in_force.ranks.empty())
    {
        configuration.in_force = default_document();
    }
    configuration.is_started = true;
    configuration.next_digest = current.now.monotonic;
    start_initial_read(configuration, current);
    start_relay(configuration, current);
}

void handle_message(state& configuration,
                    node_id const& sender,
                    message const& received,
                    std::span<std::string const> peers,
                    step& current)
{
    handle_peer_message(configuration, sender, received, current);
    advance_gossip(configuration, peers, current);
}

void handle_store(state& configuration,
                  store_call_id call,
                  store_result const& result,
                  step& current)
{
    auto const found = configuration.calls.find(call);
    if (found == configuration.calls.end())
    {
        return;
    }
    store_purpose const purpose = found->second;
    configuration.calls.erase(found);
    switch (purpose)
    {
    case store_purpose::read_at_start:
        handle_initial_read_result(configuration, result, current);
        return;
    case store_purpose::poll_as_relay:
        handle_poll_result(configuration, result, current);
        return;
    case store_purpose::read_for_change:
        handle_change_read_result(configuration, result, current);
        return;
    case store_purpose::write_change:
        handle_change_write_result(configuration, result, current);
        return;
    default:
        handle_relay_result(configuration, purpose, result, current);
    }
}

void handle_time(state& configuration,
                 std::span<std::string const> peers,
                 step& current)
{
    if (!configuration.is_started)
    {
        return;
    }
    advance_initial_read(configuration, peers, current);
    advance_submission(configuration, current);
    advance_relay(configuration, current);
    advance_gossip(configuration, peers, current);
}

void note_peer_revision(state& configuration,
                        std::string const& address,
                        std::uint64_t revision,
                        step& current)
{
    if (revision > configuration.in_force.revision)
    {
        request_catch_up(configuration, address, current);
    }
}

std::optional<instant> next_wakeup(state const& configuration)
{
    if (!configuration.is_started)
    {
        return std::nullopt;
    }
    std::optional<instant> next;
    for (std::optional<instant> const& deadline :
         {initial_read_deadline(configuration),
          submission_deadline(configuration),
          relay_deadline(configuration),
          gossip_deadline(configuration)})
    {
        if (deadline)
        {
            next = next ? std::min(*next, *deadline) : *deadline;
        }
    }
    return next;
}

} // namespace plantaintally::configuration
