// Control messages of the at-most-once protocol.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace plantaintally::once
{

// Sent by a home to ask a voucher to vouch for epoch `epoch` of the cell.
// `asked_at` is the sending time by the home's monotonic clock; the reply
// returns it, and the lifetime of the vouch counts from it. From then on the
// voucher does not vouch for lower epochs.
struct vouch_request
{
    std::string cell;
    std::uint64_t epoch = 0;
    instant asked_at{};

    bool operator==(vouch_request const&) const = default;
};

// The voucher's reply. `newest_epoch` is the highest epoch that the voucher has
// been asked to vouch for; if it is above `epoch`, the voucher does not vouch.
struct vouch_reply
{
    std::string cell;
    std::uint64_t epoch = 0;
    instant asked_at{};
    bool is_vouched = false;
    std::uint64_t newest_epoch = 0;

    bool operator==(vouch_reply const&) const = default;
};

// Asks a member of the cell for its epoch document, if that has a higher
// revision than `known_revision`.
struct epoch_question
{
    std::string cell;
    std::uint64_t known_revision = 0;

    bool operator==(epoch_question const&) const = default;
};

// The cell's epoch document as stored, with its revision.
struct epoch_news
{
    std::string cell;
    std::uint64_t revision = 0;
    std::string document;

    bool operator==(epoch_news const&) const = default;
};

// Sent by a new home to ask the home of an earlier epoch about a key.
struct key_question
{
    std::string cell;
    std::string key;
    // The earlier epoch whose home is asked.
    std::uint64_t epoch = 0;
    // The sender's newest epoch.
    std::uint64_t newest_epoch = 0;

    bool operator==(key_question const&) const = default;
};

// What the home of an earlier epoch has recorded about a key.
enum class key_history
{
    never_seen,
    running,
    not_run,
    ran,
    may_have_run
};

struct key_answer
{
    std::string cell;
    std::string key;
    std::uint64_t epoch = 0;
    key_history history = key_history::may_have_run;
    // True if the answer also covers every epoch before `epoch`.
    bool is_complete = false;
    // The sender's newest epoch: unless the sender is the key's home there, it
    // will not accept the key in any epoch up to this one.
    std::uint64_t newest_epoch = 0;

    bool operator==(key_answer const&) const = default;
};

// Sent by a leaving home to hand over the keys that it has recorded and whose
// new home is the receiver, split into parts numbered from zero. Once all parts
// are received, a key that is in none of them was not accepted by the sender.
struct key_transfer
{
    std::string cell;
    // The last epoch that the sender was a member of.
    std::uint64_t epoch = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    // Of the keys whose home the sender was, it knows every one that was
    // created after this time. wall_time::min() if it knows all of them,
    // wall_time::max() if its epoch has not opened there.
    wall_time known_since{};
    std::vector<std::string> keys;

    bool operator==(key_transfer const&) const = default;
};

// Acknowledges one part of a key_transfer.
struct key_transfer_received
{
    std::string cell;
    std::uint64_t epoch = 0;
    std::uint32_t part = 0;

    bool operator==(key_transfer_received const&) const = default;
};

using message = std::variant<vouch_request,
                             vouch_reply,
                             epoch_question,
                             epoch_news,
                             key_question,
                             key_answer,
                             key_transfer,
                             key_transfer_received>;

} // namespace plantaintally::once
