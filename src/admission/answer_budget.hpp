// Limits the memory for answers. The size of an answer is known only when it
// has been read, so reading is broken off when all answers together exceed the
// limit. It ends first for the largest answer of the sender that has most in
// memory: a faulty sender must not cost the answers of others.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace plantaintally::admission
{

using answer_reading_id = numeric_id<struct answer_reading_tag>;

class answer_budget
{
public:
    // The limit is in bytes.
    explicit answer_budget(std::uint64_t max_bytes);

    // Counts a whole answer until it is released. Returns false, and counts
    // nothing, if the answers that are kept leave no room for it.
    bool keep(std::uint64_t bytes);
    void release(std::uint64_t bytes);

    [[nodiscard]] std::uint64_t kept_bytes() const;
    // Bytes of the answers that are being read.
    [[nodiscard]] std::uint64_t read_bytes() const;
    // How many answers were broken off.
    [[nodiscard]] std::uint64_t broken_off_count() const;

private:
    friend class answer_reading;

    struct reading
    {
        std::string sender;
        std::function<void()> break_off;
        std::uint64_t bytes = 0;
        bool is_broken_off = false;
    };

    std::uint64_t limit_bytes;
    std::uint64_t kept = 0;
    std::uint64_t being_read = 0;
    std::uint64_t broken_off = 0;
    std::uint64_t last_id = 0;
    std::map<answer_reading_id, reading> readings;

    answer_reading_id begin_reading(std::string sender,
                                    std::function<void()> break_off);
    bool grow_to(answer_reading_id id, std::uint64_t bytes);
    void end_reading(answer_reading_id id);

    // Breaks off reading until all answers fit, or only kept ones are left.
    void make_room();
    // The answer to break off next; none if none holds memory.
    [[nodiscard]] std::optional<answer_reading_id> find_largest() const;
    void give_back(reading& each);
};

// An answer that is being read; its bytes are given back at the end.
class answer_reading
{
public:
    // Without a budget nothing is limited. `break_off` must end the reading. It
    // is called at most once, when this answer has to make room for the others
    // or for itself.
    answer_reading(std::shared_ptr<answer_budget> source,
                   std::string sender,
                   std::function<void()> break_off);
    ~answer_reading();
    answer_reading(answer_reading const&) = delete;
    answer_reading& operator=(answer_reading const&) = delete;

    // States how many bytes the answer takes up by now. Returns false if it
    // must not be read any further.
    bool grow_to(std::uint64_t bytes);

private:
    std::shared_ptr<answer_budget> budget;
    answer_reading_id id;
};

} // namespace plantaintally::admission
