#include "membership/internal/anti_entropy.hpp"

#include "membership/internal/send.hpp"
#include "membership/internal/view.hpp"
#include "membership/membership.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace plantaintally::membership
{

namespace
{

// Maximum number of services requested in one message, so that a joining node
// receives the fleet's records at a bounded rate.
constexpr std::size_t max_services_per_fetch = 15;
// Maximum number of records in one repair message.
constexpr std::size_t max_records_per_repair = 256;
// With at least this many known members, records are requested from a random
// member.
constexpr std::size_t min_members_for_random_peer = 32;
// Maximum number of services waiting to be fetched; the next comparison finds
// the remaining differences.
constexpr std::size_t max_pending_fetches = 4096;

void send_records(state const& membership,
                  std::string_view service,
                  std::string const& address,
                  step& current)
{
    std::vector<member_record> const records = records_of(membership, service);
    for (std::size_t begin = 0; begin < records.size();
         begin += max_records_per_repair)
    {
        std::size_t const end =
            std::min(records.size(), begin + max_records_per_repair);
        gossip repair;
        repair.is_repair = true;
        repair.news.assign(records.begin() + static_cast<std::ptrdiff_t>(begin),
                           records.begin() + static_cast<std::ptrdiff_t>(end));
        send(address, std::move(repair), current);
    }
}

std::set<std::size_t> differing_buckets(std::vector<std::uint64_t> const& own,
                                        std::vector<std::uint64_t> const& other)
{
    std::set<std::size_t> buckets;
    for (std::size_t bucket = 0; bucket < own.size(); ++bucket)
    {
        if (bucket >= other.size() || own[bucket] != other[bucket])
        {
            buckets.insert(bucket);
        }
    }
    return buckets;
}

// The services in these buckets, with this node's hashes of them.
view_digest list_services(state& membership,
                          std::set<std::size_t> const& buckets)
{
    view_digest list;
    for (auto const& [service, records] : membership.services)
    {
        if (buckets.contains(bucket_of(service)))
        {
            list.services.push_back(service);
            list.hashes.push_back(hash_service(membership, service));
        }
    }
    return list;
}

void answer_bucket_hashes(state& membership,
                          node_id const& sender,
                          view_digest const& digest,
                          step& current)
{
    std::vector<std::uint64_t> own = hash_buckets(membership);
    std::set<std::size_t> const buckets =
        differing_buckets(own, digest.bucket_hashes);
    if (buckets.empty())
    {
        return;
    }
    view_digest list = list_services(membership, buckets);
    list.bucket_hashes = std::move(own);
    list.is_reply = true;
    send(sender.address, std::move(list), current);
}

// Handles a list of the services that the peer has in differing buckets.
void handle_service_list(state& membership,
                         node_id const& sender,
                         view_digest const& digest,
                         step& current)
{
    std::set<std::size_t> const buckets =
        differing_buckets(hash_buckets(membership), digest.bucket_hashes);
    std::set<std::string_view> listed;
    for (std::size_t index = 0; index < digest.services.size(); ++index)
    {
        std::string const& service = digest.services[index];
        listed.insert(service);
        if (index < digest.hashes.size() &&
            hash_service(membership, service) != digest.hashes[index] &&
            membership.fetches.size() < max_pending_fetches)
        {
            membership.fetches.push_back({service, sender.address});
        }
    }
    view_digest const own = list_services(membership, buckets);
    for (std::string const& service : own.services)
    {
        if (!listed.contains(service))
        {
            send_records(membership, service, sender.address, current);
        }
    }
    if (!membership.fetches.empty())
    {
        membership.next_fetch =
            std::min(membership.next_fetch, current.now.monotonic);
    }
}

// Sends the records of the listed services whose hashes differ from the peer's,
// and replies with this node's hashes of them.
void answer_service_request(state& membership,
                            node_id const& sender,
                            view_digest const& digest,
                            step& current)
{
    view_digest reply;
    reply.is_reply = true;
    for (std::size_t index = 0;
         index < std::min(digest.services.size(), digest.hashes.size());
         ++index)
    {
        std::string const& service = digest.services[index];
        std::uint64_t const own = hash_service(membership, service);
        if (own == digest.hashes[index] && own != 0)
        {
            continue;
        }
        send_records(membership, service, sender.address, current);
        reply.services.push_back(service);
        reply.hashes.push_back(own);
    }
    if (!reply.services.empty())
    {
        send(sender.address, std::move(reply), current);
    }
}

// Compares the peer's hashes after its records have been merged, and sends the
// records that it lacks.
void handle_service_reply(state& membership,
                          node_id const& sender,
                          view_digest const& digest,
                          step& current)
{
    for (std::size_t index = 0;
         index < std::min(digest.services.size(), digest.hashes.size());
         ++index)
    {
        std::string const& service = digest.services[index];
        auto const lookup = membership.service_lookups.find(service);
        if (lookup != membership.service_lookups.end() &&
            digest.hashes[index] == 0)
        {
            lookup->second.negative_answers += 1;
        }
        if (hash_service(membership, service) != digest.hashes[index])
        {
            send_records(membership, service, sender.address, current);
        }
    }
}

} // namespace

void compare_views(state& membership, std::string const& address, step& current)
{
    view_digest digest;
    digest.bucket_hashes = hash_buckets(membership);
    send(address, std::move(digest), current);
}

void request_service_records(state& membership,
                             std::string_view service,
                             std::string const& address,
                             step& current)
{
    view_digest request;
    request.services.emplace_back(service);
    request.hashes.push_back(hash_service(membership, service));
    send(address, std::move(request), current);
}

void handle_digest(state& membership,
                   node_id const& sender,
                   view_digest const& digest,
                   step& current)
{
    if (!digest.bucket_hashes.empty())
    {
        if (digest.is_reply)
        {
            handle_service_list(membership, sender, digest, current);
            return;
        }
        answer_bucket_hashes(membership, sender, digest, current);
        return;
    }
    if (digest.is_reply)
    {
        handle_service_reply(membership, sender, digest, current);
        return;
    }
    answer_service_request(membership, sender, digest, current);
}

void fetch_services(state& membership, step& current)
{
    std::map<std::string, view_digest> requests_by_peer;
    // The few contacts should not have to send the records of the whole fleet
    // to every joining node: a random member is asked as soon as enough are
    // known.
    std::vector<std::string> others;
    if (member_count(membership) >= min_members_for_random_peer)
    {
        others = draw_peers(membership, 1, current);
    }
    std::size_t const count =
        std::min(max_services_per_fetch, membership.fetches.size());
    for (std::size_t index = 0; index < count; ++index)
    {
        pending_fetch const& fetch = membership.fetches[index];
        view_digest& request =
            requests_by_peer[others.empty() ? fetch.peer_address
                                            : others.front()];
        request.services.push_back(fetch.service);
        request.hashes.push_back(hash_service(membership, fetch.service));
    }
    membership.fetches.erase(membership.fetches.begin(),
                             membership.fetches.begin() +
                                 static_cast<std::ptrdiff_t>(count));
    for (auto& [address, request] : requests_by_peer)
    {
        send(address, std::move(request), current);
    }
}

} // namespace plantaintally::membership
