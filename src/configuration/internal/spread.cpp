#include "configuration/internal/spread.hpp"

#include "configuration/configuration.hpp"
#include "configuration/internal/in_force.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace plantaintally::configuration
{

namespace
{

// Each revision is passed on in this many rounds, to this many peers each.
constexpr std::uint32_t spread_round_count = 4;
constexpr std::size_t spread_fanout = 3;
constexpr duration spread_interval = std::chrono::milliseconds(150);
// Time between two digests to a random peer.
constexpr duration digest_interval = std::chrono::seconds(2);
// Time between two questions for a missing revision.
constexpr duration question_interval = std::chrono::milliseconds(200);
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

std::vector<std::string>
draw(std::span<std::string const> peers, std::size_t count, step& current)
{
    std::vector<std::string> drawn(peers.begin(), peers.end());
    std::size_t const wanted = std::min(count, drawn.size());
    for (std::size_t index = 0; index < wanted; ++index)
    {
        std::size_t const chosen =
            index + draw_below(current.random, drawn.size() - index);
        std::swap(drawn[index], drawn[chosen]);
    }
    drawn.resize(wanted);
    return drawn;
}

// Sends what leads from the receiver's revision to the one in force. A whole
// document goes only to a node that has asked for it.
void send_missing(state const& configuration,
                  std::string const& address,
                  revision_digest const& theirs,
                  step& current)
{
    change_batch batch = changes_since(configuration, theirs.revision);
    if (!batch.changes.empty())
    {
        send(address, std::move(batch), current);
        return;
    }
    if (theirs.wants_document)
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
            this->configuration.told_revisions[this->sender.address] =
                digest.revision;
        }
        if (digest.revision > own)
        {
            ask_peer(this->configuration, this->sender.address, this->current);
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
            note_told_confirmed(this->configuration, digest, this->current);
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
                ask_peer(
                    this->configuration, this->sender.address, this->current);
                return;
            }
        }
    }
};

void send_round(state& configuration,
                std::span<std::string const> peers,
                step& current)
{
    configuration.spread_rounds -= 1;
    configuration.next_spread =
        current.now.monotonic +
        draw_jittered(current.random, spread_interval, period_jitter);
    change_batch const batch =
        changes_since(configuration, configuration.spread_after);
    for (std::string const& address : draw(peers, spread_fanout, current))
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

void begin_spread(state& configuration,
                  std::uint64_t base_revision,
                  step& current)
{
    if (configuration.spread_rounds == 0)
    {
        configuration.spread_after = base_revision;
        configuration.next_spread = current.now.monotonic;
    }
    configuration.spread_after =
        std::min(configuration.spread_after, base_revision);
    configuration.spread_rounds = spread_round_count;
}

void advance_spread(state& configuration,
                    std::span<std::string const> peers,
                    step& current)
{
    instant const now = current.now.monotonic;
    if (configuration.spread_rounds > 0 && now >= configuration.next_spread)
    {
        send_round(configuration, peers, current);
    }
    if (now >= configuration.next_digest)
    {
        configuration.next_digest =
            now + draw_jittered(current.random, digest_interval, period_jitter);
        for (std::string const& address : draw(peers, 1, current))
        {
            send(address, make_digest(configuration, now), current);
        }
    }
}

std::optional<instant> spread_deadline(state const& configuration)
{
    if (configuration.spread_rounds > 0)
    {
        return std::min(configuration.next_spread, configuration.next_digest);
    }
    return configuration.next_digest;
}

void ask_peer(state& configuration, std::string const& address, step& current)
{
    if (current.now.monotonic < configuration.next_question)
    {
        return;
    }
    configuration.next_question =
        current.now.monotonic +
        draw_jittered(current.random, question_interval, period_jitter);
    revision_digest question =
        make_digest(configuration, current.now.monotonic);
    question.wants_document = true;
    send(address, question, current);
}

void ask_at_start(state& configuration,
                  std::span<std::string const> peers,
                  step& current)
{
    revision_digest question =
        make_digest(configuration, current.now.monotonic);
    question.wants_document = true;
    for (std::string const& address : draw(peers, spread_fanout, current))
    {
        send(address, question, current);
        // One whole document is enough; the others tell their revision.
        question.wants_document = false;
    }
}

void take_message(state& configuration,
                  node_id const& sender,
                  message const& received,
                  step& current)
{
    std::visit(message_visitor{configuration, sender, current}, received);
}

} // namespace plantaintally::configuration
