#include "admission/answer_budget.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace plantaintally::admission
{

answer_budget::answer_budget(std::uint64_t max_bytes) : limit_bytes(max_bytes)
{
}

bool answer_budget::keep(std::uint64_t bytes)
{
    if (bytes > this->limit_bytes - std::min(this->limit_bytes, this->kept))
    {
        return false;
    }
    this->kept += bytes;
    this->make_room();
    return true;
}

void answer_budget::release(std::uint64_t bytes)
{
    this->kept -= bytes;
}

std::uint64_t answer_budget::kept_bytes() const
{
    return this->kept;
}

std::uint64_t answer_budget::read_bytes() const
{
    return this->being_read;
}

std::uint64_t answer_budget::broken_off_count() const
{
    return this->broken_off;
}

answer_reading_id answer_budget::begin_reading(std::string sender,
                                               std::function<void()> break_off)
{
    answer_reading_id const id{++this->last_id};
    this->readings.try_emplace(
        id, reading{std::move(sender), std::move(break_off), 0, false});
    return id;
}

bool answer_budget::grow_to(answer_reading_id id, std::uint64_t bytes)
{
    auto& grown = this->readings.at(id);
    if (!grown.is_broken_off)
    {
        this->being_read += bytes - grown.bytes;
        grown.bytes = bytes;
        this->make_room();
    }
    return !grown.is_broken_off;
}

void answer_budget::end_reading(answer_reading_id id)
{
    auto const ended = this->readings.find(id);
    this->give_back(ended->second);
    this->readings.erase(ended);
}

void answer_budget::make_room()
{
    while (this->kept + this->being_read > this->limit_bytes)
    {
        auto const id = this->find_largest();
        if (!id)
        {
            return;
        }
        auto& largest = this->readings.at(*id);
        this->give_back(largest);
        largest.is_broken_off = true;
        ++this->broken_off;
        largest.break_off();
    }
}

std::optional<answer_reading_id> answer_budget::find_largest() const
{
    std::map<std::string_view, std::uint64_t> bytes_of_senders;
    for (auto const& [id, each] : this->readings)
    {
        bytes_of_senders[each.sender] += each.bytes;
    }
    auto const heaviest = std::ranges::max_element(
        bytes_of_senders, {}, [](auto const& entry) { return entry.second; });
    std::optional<answer_reading_id> largest;
    std::uint64_t largest_bytes = 0;
    for (auto const& [id, each] : this->readings)
    {
        if (each.bytes > largest_bytes && each.sender == heaviest->first)
        {
            largest = id;
            largest_bytes = each.bytes;
        }
    }
    return largest;
}

void answer_budget::give_back(reading& each)
{
    this->being_read -= std::exchange(each.bytes, 0);
}

answer_reading::answer_reading(std::shared_ptr<answer_budget> source,
                               std::string sender,
                               std::function<void()> break_off)
    : budget(std::move(source))
{
    if (this->budget != nullptr)
    {
        this->id = this->budget->begin_reading(std::move(sender),
                                               std::move(break_off));
    }
}

answer_reading::~answer_reading()
{
    if (this->budget != nullptr)
    {
        this->budget->end_reading(this->id);
    }
}

bool answer_reading::grow_to(std::uint64_t bytes)
{
    return this->budget == nullptr || this->budget->grow_to(this->id, bytes);
}

} // namespace plantaintally::admission
