// Control messages of the at-most-once protocol.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace plantaintally::once
{

// A home asks a voucher to vouch for epoch `epoch` of the cell. The asker's
// monotonic time of sending comes back, so that the vouch counts from then.
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

// A voucher has moved: it will never again vouch for epochs below `epoch`.
struct epoch_moved
{
    std::string cell;
    std::uint64_t epoch = 0;

    bool operator==(epoch_moved const&) const = default;
};

// A new home asks the previous home what it knows of a key.
struct key_question
{
    std::string cell;
    std::string key;
    std::uint64_t epoch = 0;

    bool operator==(key_question const&) const = default;
};

// What a previous home knows of a key.
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

    bool operator==(key_answer const&) const = default;
};

using message = std::
    variant<vouch_request, vouch_reply, epoch_moved, key_question, key_answer>;

} // namespace plantaintally::once
