#include "membership/internal/contact_attempts.hpp"

#include "membership/internal/anti_entropy.hpp"
#include "membership/membership.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::membership
{

namespace
{

constexpr duration contact_interval = std::chrono::seconds(1);
// A contacted node that has not answered for this long may lose its place on
// the list.
constexpr duration answer_timeout = std::chrono::seconds(1);
// Average number of nodes that act on something that all nodes of a large fleet
// notice, so that the calls and messages don't grow with the fleet.
constexpr std::size_t max_volunteers = 64;

bool is_unknown(state const& membership, std::string const& address)
{
    return address != membership.startup_options.self.address &&
           find_member(membership, address) == nullptr;
}

// True if the listed node is known to run.
bool is_live_contact(state const& membership, std::string const& address)
{
    if (find_member(membership, address) != nullptr)
    {
        return true;
    }
    auto const attempt = membership.contacts.attempts.find(address);
    return attempt != membership.contacts.attempts.end() &&
           attempt->second.has_answered &&
           !membership.tombstones.contains(address);
}

// Starts comparing views with the next pending contacts.
void contact_pending_nodes(state& membership, step& current)
{
    contact_directory& contacts = membership.contacts;
    std::erase_if(contacts.pending,
                  [&](std::string const& address)
                  { return !is_unknown(membership, address); });
    auto const count = static_cast<std::ptrdiff_t>(
        std::min(contacts.pending.size(), max_contacted_nodes));
    auto const end = contacts.pending.begin() + count;
    for (auto next = contacts.pending.begin(); next != end; ++next)
    {
        compare_views(membership, *next, current);
        contacts.attempts.try_emplace(*next,
                                      contact_attempt{current.now.monotonic});
    }
    contacts.pending.erase(contacts.pending.begin(), end);
    contacts.next_contact = current.now.monotonic + contact_interval;
}

} // namespace

bool is_volunteer(state const& membership, step& current)
{
    return draw_below(current.random,
                      std::max<std::size_t>(member_count(membership), 1)) <
           max_volunteers;
}

void contact_unknown_nodes(state& membership,
                           std::vector<std::string> listed,
                           contact_order order,
                           step& current)
{
    contact_directory& contacts = membership.contacts;
    std::erase_if(listed,
                  [&](std::string const& address)
                  { return !is_unknown(membership, address); });
    std::erase_if(contacts.pending,
                  [&](std::string const& address) {
                      return std::ranges::find(listed, address) != listed.end();
                  });
    std::ranges::reverse(listed);
    if (order == contact_order::random)
    {
        for (std::size_t left = listed.size(); left > 1; --left)
        {
            std::swap(listed[left - 1],
                      listed[draw_below(current.random, left)]);
        }
    }
    std::stable_partition(listed.begin(),
                          listed.end(),
                          [&](std::string const& address)
                          { return !contacts.attempts.contains(address); });
    contacts.pending.insert(
        contacts.pending.begin(), listed.begin(), listed.end());
    contact_pending_nodes(membership, current);
}

void continue_contacting(state& membership, step& current)
{
    contact_directory& contacts = membership.contacts;
    if (contacts.pending.empty() ||
        current.now.monotonic < contacts.next_contact)
    {
        return;
    }
    if (!is_volunteer(membership, current))
    {
        contacts.pending.clear();
    }
    contact_pending_nodes(membership, current);
}

void contact_sender(state& membership,
                    std::string const& address,
                    step& current)
{
    contact_directory& contacts = membership.contacts;
    bool const is_alone =
        member_count(membership) <= (membership.self_record ? 1U : 0U);
    if (!is_alone || !membership.is_started || membership.is_leaving ||
        current.now.monotonic < contacts.next_sender_contact)
    {
        return;
    }
    contacts.next_sender_contact = current.now.monotonic + contact_interval;
    compare_views(membership, address, current);
}

void note_contact_answer(state& membership, std::string_view address)
{
    auto const attempt = membership.contacts.attempts.find(address);
    if (attempt != membership.contacts.attempts.end())
    {
        attempt->second.has_answered = true;
    }
}

std::size_t count_live_contacts(state const& membership)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        membership.contacts.own_zone,
        [&](std::string const& address)
        { return is_live_contact(membership, address); }));
}

bool is_silent(state const& membership, std::string const& address, instant now)
{
    auto const attempt = membership.contacts.attempts.find(address);
    return is_unknown(membership, address) &&
           attempt != membership.contacts.attempts.end() &&
           !attempt->second.has_answered &&
           now - attempt->second.asked_at >= answer_timeout;
}

} // namespace plantaintally::membership
