#include "membership/membership.hpp"

#include "membership/internal/anti_entropy.hpp"
#include "membership/internal/cell.hpp"
#include "membership/internal/contact_attempts.hpp"
#include "membership/internal/contacts.hpp"
#include "membership/internal/failure_detector.hpp"
#include "membership/internal/gossip_queue.hpp"
#include "membership/internal/heartbeats.hpp"
#include "membership/internal/lookup.hpp"
#include "membership/internal/send.hpp"
#include "membership/internal/view.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantaintally::membership
{

namespace
{

// Relative jitter of every interval.
constexpr double period_jitter = 0.1;
// Longest delay before a starting node first reads the platform's key-value
// store; the delay is random.
constexpr duration first_read_window = std::chrono::seconds(2);
// Interval between selections of the outside watchers.
constexpr duration watcher_selection_interval = std::chrono::seconds(30);
// Interval between requests for the records of differing services.
constexpr duration fetch_interval = std::chrono::milliseconds(500);
// Interval between attempts to reach a random gone member.
constexpr duration reconnect_interval = std::chrono::seconds(10);
// Shortest interval between repairs of the own service's records.
constexpr duration service_repair_interval = std::chrono::seconds(1);
// Number of random peers informed at once of a change of this node.
constexpr std::size_t announcement_fanout = 3;
// Number of random peers informed at once that this node is leaving: more,
// since it will not be there to gossip the change.
constexpr std::size_t leaving_fanout = 8;

instant jittered_deadline(duration base, step& current)
{
    return current.now.monotonic +
           draw_jittered(current.random, base, period_jitter);
}

// Merges this node's changed record into the view, and sends it at once to the
// nodes that watch this one and to random peers.
void publish_self(state& membership, std::size_t fanout, step& current)
{
    member_record const& self = *membership.self_record;
    learn(membership, self, current);
    refresh_targets(membership, current);
    std::vector<std::string> targets = watchers_of_self(membership);
    std::vector<std::string> const others =
        draw_peers(membership, fanout, current);
    targets.insert(targets.end(), others.begin(), others.end());
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    for (std::string const& address : targets)
    {
        send(address, gossip{{self}, false}, current);
    }
    membership.next_gossip =
        std::min(membership.next_gossip, current.now.monotonic);
}

void set_own_status(state& membership,
                    member_status status,
                    std::size_t fanout,
                    step& current)
{
    if (!membership.self_record || membership.is_leaving ||
        membership.self_record->status == status)
    {
        return;
    }
    membership.self_record->status = status;
    membership.self_record->status_version += 1;
    publish_self(membership, fanout, current);
}

// Refutes a record of this node that another node has changed, by publishing a
// newer version. Ignores records of other incarnations.
void refute(state& membership, member_record const& claim, step& current)
{
    if (!membership.self_record || membership.is_leaving)
    {
        return;
    }
    member_record& self = *membership.self_record;
    bool const is_current_incarnation =
        claim.node.incarnation == self.node.incarnation;
    if (!is_current_incarnation || !is_newer(claim, self))
    {
        return;
    }
    self.status_version = claim.status_version + 1;
    record(current,
           "",
           "membership",
           "refuted",
           "version=" + std::to_string(self.status_version));
    publish_self(membership, announcement_fanout, current);
}

// Answers a record of this node that another node holds. A sender that believes
// this node suspected or gone gets the current record from here, as it may have
// missed the refutation.
void answer_claim(state& membership,
                  node_id const& sender,
                  member_record const& claim,
                  step& current)
{
    refute(membership, claim, current);
    bool const is_accusation = claim.status == member_status::suspected ||
                               claim.status == member_status::gone;
    if (is_accusation && membership.self_record && !membership.is_leaving &&
        is_newer(*membership.self_record, claim))
    {
        send(sender.address, gossip{{*membership.self_record}, false}, current);
    }
}

// Renews the link to a member whose process has been replaced by the one that
// the record is of.
void renew_link_after_restart(state const& membership,
                              member_record const& record,
                              step& current)
{
    member_record const* const held =
        find_record(membership, record.node.address);
    if (held != nullptr && held->node.incarnation < record.node.incarnation)
    {
        renew_link_to(record.node.address, current);
    }
}

void handle_records(state& membership,
                    node_id const& sender,
                    gossip const& received,
                    step& current)
{
    for (member_record const& record : received.news)
    {
        bool const is_self =
            record.node.address == membership.startup_options.self.address;
        if (is_self && (membership.self_record ||
                        record.node.incarnation >=
                            membership.startup_options.self.incarnation))
        {
            answer_claim(membership, sender, record, current);
            continue;
        }
        renew_link_after_restart(membership, record, current);
        if (received.is_repair)
        {
            merge_record(membership, record, current.now.monotonic);
            continue;
        }
        learn(membership, record, current);
    }
    membership.next_gossip = std::min(
        membership.next_gossip,
        jittered_deadline(membership.startup_options.gossip_interval, current));
}

// Starts or stops watching the sender of a heartbeat if it belongs to another
// service: its heartbeats ask this node to watch it.
void update_outside_watch(state& membership,
                          node_id const& sender,
                          heartbeat const& beat,
                          step& current)
{
    auto const watched = membership.watched.find(sender.address);
    if (beat.ends_watch)
    {
        if (watched != membership.watched.end() &&
            watched->second.is_outside_cell)
        {
            membership.watched.erase(watched);
        }
        return;
    }
    member_record const* const held = find_member(membership, sender.address);
    bool const is_other_service =
        held != nullptr && membership.self_record &&
        held->service != membership.self_record->service &&
        held->node.incarnation == sender.incarnation;
    if (!is_other_service)
    {
        return;
    }
    auto const [place, is_new] = membership.watched.try_emplace(sender.address);
    if (is_new || place->second.incarnation != sender.incarnation)
    {
        place->second = watched_peer{};
        place->second.incarnation = sender.incarnation;
        place->second.evidence_at = current.now.monotonic;
        place->second.heard_at = current.now.monotonic;
        place->second.is_outside_cell = true;
    }
}

// If the sender is recorded as gone, sends it that record, so that it can
// refute.
void notify_if_tombstoned(state& membership,
                          node_id const& sender,
                          step& current)
{
    auto const gone = membership.tombstones.find(sender.address);
    if (gone != membership.tombstones.end() &&
        gone->second.record.node.incarnation == sender.incarnation)
    {
        send(sender.address, gossip{{gone->second.record}, false}, current);
    }
}

// Requests the sender's records if its view of the common service differs, at
// most once per repair interval.
void repair_service(state& membership,
                    node_id const& sender,
                    heartbeat const& beat,
                    step& current)
{
    member_record const* const held = find_member(membership, sender.address);
    bool const is_same_service =
        held != nullptr && membership.self_record &&
        held->service == membership.self_record->service;
    if (!is_same_service)
    {
        return;
    }
    instant const now = current.now.monotonic;
    bool const is_due = !membership.next_service_repair ||
                        now >= *membership.next_service_repair;
    if (is_due && beat.view_hash != hash_service(membership, held->service))
    {
        membership.next_service_repair =
            jittered_deadline(service_repair_interval, current);
        request_service_records(
            membership, held->service, sender.address, current);
    }
}

struct message_visitor
{
    state& membership;
    node_id const& sender;
    step& current;

    void operator()(heartbeat const& received) const
    {
        handle_records(this->membership,
                       this->sender,
                       gossip{received.news, false},
                       this->current);
        update_outside_watch(
            this->membership, this->sender, received, this->current);
        note_digest(
            this->membership, received.heard, this->current.now.monotonic);
        notify_if_tombstoned(this->membership, this->sender, this->current);
        repair_service(this->membership, this->sender, received, this->current);
        note_store_era(this->membership, received.store_era, this->current);
    }

    void operator()(gossip const& received) const
    {
        handle_records(this->membership, this->sender, received, this->current);
    }

    void operator()(view_digest const& received) const
    {
        notify_if_tombstoned(this->membership, this->sender, this->current);
        handle_digest(this->membership, this->sender, received, this->current);
    }

    void operator()(store_era_notice const& received) const
    {
        note_store_era(this->membership, received.era, this->current);
    }
};

// Compares views with a random peer, or with a configured contact if no peer is
// known.
void compare_with_random_peer(state& membership, step& current)
{
    for (std::string const& address : draw_peers(membership, 1, current))
    {
        compare_views(membership, address, current);
    }
}

// Compares views with a random gone member, which may only have been
// unreachable because of a network partition.
void try_reconnect(state& membership, step& current)
{
    if (membership.tombstones.empty())
    {
        return;
    }
    auto const chosen =
        std::next(membership.tombstones.begin(),
                  static_cast<std::ptrdiff_t>(draw_below(
                      current.random, membership.tombstones.size())));
    renew_link_to(chosen->first, current);
    compare_views(membership, chosen->first, current);
}

void run_heartbeat_round(state& membership, step& current)
{
    instant const now = current.now.monotonic;
    if (now < membership.next_heartbeat)
    {
        return;
    }
    duration const lateness = now - membership.next_heartbeat;
    if (lateness > membership.startup_options.heartbeat_interval / 2)
    {
        compensate_for_pause(membership, lateness, now);
    }
    membership.next_heartbeat = jittered_deadline(
        membership.startup_options.heartbeat_interval, current);
    if (!membership.self_record || membership.is_leaving)
    {
        return;
    }
    refresh_targets(membership, current);
    send_heartbeats(membership, current);
    check_watched_peers(membership, current);
    check_live_contacts(membership, current);
}

// Runs `callback` if it is due, and sets its next time.
template <class Action>
void run_if_due(instant& next,
                duration interval,
                step& current,
                Action callback)
{
    if (current.now.monotonic >= next)
    {
        next = jittered_deadline(interval, current);
        callback();
    }
}

} // namespace

void start(state& membership, step& current)
{
    instant const now = current.now.monotonic;
    membership.is_started = true;
    membership.gossip_refilled_at = now;
    membership.next_heartbeat = now;
    membership.next_gossip =
        jittered_deadline(membership.startup_options.gossip_interval, current);
    membership.next_anti_entropy = jittered_deadline(
        membership.startup_options.anti_entropy_interval, current);
    membership.next_watcher_selection =
        jittered_deadline(watcher_selection_interval, current);
    membership.next_fetch = jittered_deadline(fetch_interval, current);
    membership.next_reconnect = jittered_deadline(reconnect_interval, current);
    membership.contacts.next_read =
        now + std::chrono::duration_cast<duration>(
                  first_read_window * draw_fraction(current.random));
    for (std::string const& address :
         draw_peers(membership, announcement_fanout, current))
    {
        compare_views(membership, address, current);
    }
}

void announce(state& membership,
              upstream_announcement const& announcement,
              step& current)
{
    if (!membership.self_record)
    {
        member_record self;
        self.node = membership.startup_options.self;
        self.service = announcement.service;
        self.availability_zone = membership.startup_options.availability_zone;
        self.slots = announcement.slots;
        membership.self_record = self;
        membership.is_cell_stale = true;
        membership.next_heartbeat = current.now.monotonic;
        // The view may already have a record of this address.
        if (member_record const* held =
                find_record(membership, self.node.address);
            held != nullptr && !is_newer(self, *held))
        {
            membership.self_record->status_version = held->status_version + 1;
        }
        publish_self(membership, announcement_fanout, current);
        list_new_member(membership, current);
        return;
    }
    member_record& self = *membership.self_record;
    if (self.slots != announcement.slots ||
        self.service != announcement.service)
    {
        self.slots = announcement.slots;
        self.service = announcement.service;
        self.status_version += 1;
        membership.is_cell_stale = true;
        publish_self(membership, announcement_fanout, current);
    }
}

void announce_draining(state& membership, step& current)
{
    set_own_status(
        membership, member_status::draining, announcement_fanout, current);
}

void announce_undrained(state& membership, step& current)
{
    set_own_status(
        membership, member_status::alive, announcement_fanout, current);
}

void announce_leaving(state& membership, step& current)
{
    if (!membership.self_record || membership.is_leaving)
    {
        membership.is_leaving = true;
        return;
    }
    std::vector<std::string> targets = watchers_of_self(membership);
    std::vector<std::string> const others =
        draw_peers(membership, leaving_fanout, current);
    targets.insert(targets.end(), others.begin(), others.end());
    membership.self_record->status = member_status::gone;
    membership.self_record->status_version += 1;
    learn(membership, *membership.self_record, current);
    for (std::string const& address : targets)
    {
        send(address, gossip{{*membership.self_record}, false}, current);
    }
    membership.is_leaving = true;
    membership.cell.clear();
    membership.outside_watchers.clear();
    membership.watched.clear();
}

void note_draining(state& membership, std::string_view address, step& current)
{
    member_record const* const held = find_member(membership, address);
    if (held == nullptr || held->status == member_status::draining ||
        address == membership.startup_options.self.address)
    {
        return;
    }
    member_record draining = *held;
    draining.status = member_status::draining;
    learn(membership, draining, current);
}

void set_configuration_revision(state& membership, std::uint64_t revision)
{
    membership.configuration_revision = revision;
}

void set_routes_version(state& membership, std::uint64_t version)
{
    membership.routes_version = version;
}

void handle_message(state& membership,
                    node_id const& sender,
                    message const& received,
                    step& current)
{
    note_message_from(membership, sender, current);
    note_contact_answer(membership, sender.address);
    std::visit(message_visitor{membership, sender, current}, received);
    contact_sender(membership, sender.address, current);
}

void handle_store(state& membership,
                  store_call_id call,
                  store_result const& result,
                  step& current)
{
    handle_contacts(membership, call, result, current);
}

void handle_time(state& membership, step& current)
{
    if (!membership.is_started)
    {
        return;
    }
    run_heartbeat_round(membership, current);
    run_if_due(membership.next_gossip,
               membership.startup_options.gossip_interval,
               current,
               [&] { gossip_round(membership, current); });
    run_if_due(membership.next_anti_entropy,
               membership.startup_options.anti_entropy_interval,
               current,
               [&] { compare_with_random_peer(membership, current); });
    run_if_due(membership.next_watcher_selection,
               watcher_selection_interval,
               current,
               [&] { reselect_outside_watchers(membership, current); });
    run_if_due(membership.next_fetch,
               fetch_interval,
               current,
               [&] { fetch_services(membership, current); });
    run_if_due(membership.next_reconnect,
               reconnect_interval,
               current,
               [&] { try_reconnect(membership, current); });
    if (!membership.doubted.empty())
    {
        run_if_due(membership.next_doubt_round,
                   doubt_interval,
                   current,
                   [&] { ask_doubted_members(membership, current); });
    }
    expire_tombstones(membership, current.now.monotonic);
    expire_service_lookups(membership, current.now.monotonic);
    refresh_contacts(membership, current);
}

std::optional<instant> next_wakeup(state const& membership)
{
    if (!membership.is_started)
    {
        return std::nullopt;
    }
    instant next = std::min({membership.next_heartbeat,
                             membership.next_anti_entropy,
                             membership.next_watcher_selection,
                             membership.next_reconnect,
                             next_contact_refresh(membership)});
    if (!membership.news.empty())
    {
        next = std::min(next, membership.next_gossip);
    }
    if (!membership.fetches.empty())
    {
        next = std::min(next, membership.next_fetch);
    }
    if (!membership.doubted.empty())
    {
        next = std::min(next, membership.next_doubt_round);
    }
    return next;
}

} // namespace plantaintally::membership
