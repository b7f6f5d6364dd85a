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

// A home asks a voucher to vouch for epoch `epoch` of the cell. The asker's
// monotonic time of sending comes back, so that the vouch counts from then.
// The voucher will not vouch for lower epochs any more.
struct vouch_request
{
    std::string cell;
    std::uint64_t epoch = 0;
    instant asked_at{};

    bool operator==(vouch_request const&) const = default;
};

// The voucher's answer. If it has moved to a newer epoch it does not vouch and
// tells the newer one.
struct vouch_reply
{
    std::string cell;
    std::uint64_t epoch = 0;
    instant asked_at{};
    bool is_vouched = false;
    std::uint64_t newest_epoch = 0;

    bool operator==(vouch_reply const&) const = default;
};

// Asks a member of the cell for the document of epochs, if it has a revision
// above the known one.
struct epoch_question
{
    std::string cell;
    std::uint64_t known_revision = 0;

    bool operator==(epoch_question const&) const = default;
};

// The cell's document as stored, with its revision.
struct epoch_news
{
    std::string cell;
    std::uint64_t revision = 0;
    std::string document;

    bool operator==(epoch_news const&) const = default;
};

// A new home asks the home of an earlier epoch what it knows of a key.
struct key_question
{
    std::string cell;
    std::string key;
    // The earlier epoch that the question is about.
    std::uint64_t epoch = 0;
    // The asker's epoch.
    std::uint64_t newest_epoch = 0;

    bool operator==(key_question const&) const = default;
};

// What the home of an earlier epoch knows of a key.
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
    // True if the answer also covers every epoch before that one.
    bool is_complete = false;
    // The answerer's newest epoch: unless it is the key's home there, it will
    // not accept the key in any epoch up to this one.
    std::uint64_t newest_epoch = 0;

    bool operator==(key_answer const&) const = default;
};

// A leaving home hands over the keys that it accepted and whose home is the
// receiver from now on, in numbered parts. With every part received, a key
// that is not among them was not accepted by the sender.
struct key_transfer
{
    std::string cell;
    // The last epoch that the sender was a member of.
    std::uint64_t epoch = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    // The sender knows every key that was minted after this time.
    wall_time known_since{};
    std::vector<std::string> keys;

    bool operator==(key_transfer const&) const = default;
};

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
