#include "configuration/internal/gossip.hpp"

#include "configuration/configuration.hpp"
#include "configuration/internal/in_force.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace plantaintally::configuration
{

namespace
{

// Each revision is sent in this many rounds, to this many random peers each.
constexpr std::uint32_t gossip_round_count = 4;
constexpr std::size_t gossip_fanout = 3;
constexpr duration gossip_interval = std::chrono::milliseconds(150);
// Interval at which a digest is sent to a random peer.
constexpr duration digest_interval = std::chrono::seconds(2);
// Shortest time between two catch-up requests.
constexpr duration catch_up_request_interval = std::chrono::milliseconds(200);
constexpr double period_jitter = 0.2;

void send(std::string const& address, message content, step& current)
{
    current.out.push_back(
        send_control{address, control_message(std::move(content))});
}

revision_digest make_digest(state const& configuration, instant now)
{
    revision_digest digest;
    digest.revision = configuration.in_force.revision;
    digest.is_ready = configuration.is_ready;
    digest.confirmed_age =
        confirmed_age(configuration, now).value_or(duration::max());
    digest.confirmed_stamp = configuration.confirmed_stamp;
    return digest;
}

std::vector<std::string> sample_peers(std::span<std::string const> peers,
                                      std::size_t count,
                                      step& current)
{
    std::vector<std::string> sampled(peers.begin(), peers.end());
    std::size_t const sample_size = std::min(count, sampled.size());
    for (std::size_t index = 0; index < sample_size; ++index)
    {
        std::size_t const chosen =
            index + draw_below(current.random, sampled.size() - index);
        std::swap(sampled[index], sampled[chosen]);
    }
    sampled.resize(sample_size);
    return sampled;
}

// Sends the changes from the receiver's revision to the one in force. Without
// them, sends the whole document if the receiver asked for it, else a digest.
void send_missing(state const& configuration,
                  std::string const& address,
                  revision_digest const& peer_digest,
                  step& current)
{
    change_batch batch = changes_since(configuration, peer_digest.revision);
    if (!batch.changes.empty())
    {
        send(address, std::move(batch), current);
        return;
    }
    if (peer_digest.wants_document)
    {
        send(address, document_update{configuration.in_force}, current);
        return;
    }
    send(address, make_digest(configuration, current.now.monotonic), current);
}

struct message_visitor
{
    state& configuration;
    node_id const& sender;
    step& current;

    void operator()(revision_digest const& digest) const
    {
        std::uint64_t const own = this->configuration.in_force.revision;
        if (digest.is_ready && !this->configuration.is_ready)
        {
            this->configuration.peer_revisions[this->sender.address] =
                digest.revision;
        }
        if (digest.revision > own)
        {
            request_catch_up(
                this->configuration, this->sender.address, this->current);
            return;
        }
        if (digest.revision < own)
        {
            send_missing(this->configuration,
                         this->sender.address,
                         digest,
                         this->current);
        }
        else
        {
            note_peer_confirmation(this->configuration, digest, this->current);
        }
        if (!digest.is_ready && this->configuration.is_ready)
        {
            instant const now = this->current.now.monotonic;
            send(this->sender.address,
                 make_digest(this->configuration, now),
                 this->current);
        }
    }

    void operator()(document_update const& update) const
    {
        adopt_document(this->configuration, update.content, this->current);
    }

    void operator()(change_batch const& batch) const
    {
        for (accepted_change const& accepted : batch.changes)
        {
            if (accepted.revision <= this->configuration.in_force.revision)
            {
                continue;
            }
            if (!adopt_change(this->configuration, accepted, this->current))
            {
                request_catch_up(
                    this->configuration, this->sender.address, this->current);
                return;
            }
        }
    }
};

void send_gossip_round(state& configuration,
                       std::span<std::string const> peers,
                       step& current)
{
    configuration.gossip_rounds_left -= 1;
    configuration.next_gossip_round =
        current.now.monotonic +
        draw_jittered(current.random, gossip_interval, period_jitter);
    change_batch const batch =
        changes_since(configuration, configuration.gossip_base_revision);
    for (std::string const& address :
         sample_peers(peers, gossip_fanout, current))
    {
        if (batch.changes.empty())
        {
            send(address,
                 make_digest(configuration, current.now.monotonic),
                 current);
            continue;
        }
        send(address, batch, current);
    }
}

} // namespace

void start_gossip(state& configuration,
                  std::uint64_t base_revision,
                  step& current)
{
    if (configuration.gossip_rounds_left == 0)
    {
        configuration.gossip_base_revision = base_revision;
        configuration.next_gossip_round = current.now.monotonic;
    }
    configuration.gossip_base_revision =
        std::min(configuration.gossip_base_revision, base_revision);
    configuration.gossip_rounds_left = gossip_round_count;
}

void advance_gossip(state& configuration,
                    std::span<std::string const> peers,
                    step& current)
{
    instant const now = current.now.monotonic;
    if (configuration.gossip_rounds_left > 0 &&
        now >= configuration.next_gossip_round)
    {
        send_gossip_round(configuration, peers, current);
    }
    if (now >= configuration.next_digest)
    {
        configuration.next_digest =
            now + draw_jittered(current.random, digest_interval, period_jitter);
        for (std::string const& address : sample_peers(peers, 1, current))
        {
            send(address, make_digest(configuration, now), current);
        }
    }
}

std::optional<instant> gossip_deadline(state const& configuration)
{
    if (configuration.gossip_rounds_left > 0)
    {
        return std::min(configuration.next_gossip_round,
                        configuration.next_digest);
    }
    return configuration.next_digest;
}

void request_catch_up(state& configuration,
                      std::string const& address,
                      step& current)
{
    if (current.now.monotonic < configuration.next_catch_up_request)
    {
        return;
    }
    configuration.next_catch_up_request =
        current.now.monotonic +
        draw_jittered(current.random, catch_up_request_interval, period_jitter);
    revision_digest request = make_digest(configuration, current.now.monotonic);
    request.wants_document = true;
    send(address, request, current);
}

void request_initial_catch_up(state& configuration,
                              std::span<std::string const> peers,
                              step& current)
{
    revision_digest request = make_digest(configuration, current.now.monotonic);
    request.wants_document = true;
    for (std::string const& address :
         sample_peers(peers, gossip_fanout, current))
    {
        send(address, request, current);
        // One whole document is enough; the others only report their revision.
        request.wants_document = false;
    }
}

void handle_peer_message(state& configuration,
                         node_id const& sender,
                         message const& received,
                         step& current)
{
    std::visit(message_visitor{configuration, sender, current}, received);
}

} // namespace plantaintally::configuration
