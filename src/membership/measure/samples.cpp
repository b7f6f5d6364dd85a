#include "membership/measure/samples.hpp"

namespace plantaintally::measure
{

namespace
{

constexpr std::size_t first_port = 7000;
constexpr std::size_t members_per_service = planned_nodes / planned_services;
// Incarnations are start times in milliseconds.
constexpr std::uint64_t sample_incarnation = 1'796'000'000'000;

} // namespace

std::string sample_address(std::size_t number)
{
    return "10." + std::to_string(100 + number / 40'000) + "." +
           std::to_string(number / 200 % 200) + "." +
           std::to_string(10 + number % 200) + ":" + std::to_string(first_port);
}

membership::member_record sample_member(std::size_t number)
{
    membership::member_record record;
    record.node = {sample_address(number), sample_incarnation + number};
    record.service = "service-" + std::to_string(number / members_per_service);
    record.availability_zone = "zone-" + std::to_string(number % planned_zones);
    record.status_version = 2;
    record.slots = 200;
    return record;
}

configuration::document
sample_document(std::size_t ranks, std::size_t rules, std::size_t changes)
{
    configuration::document content;
    content.revision = 1'000'000;
    for (std::size_t index = 0; index < ranks; ++index)
    {
        configuration::rank_definition rank;
        rank.name = "rank-" + std::to_string(index);
        rank.urgency = static_cast<std::uint32_t>(index);
        content.ranks.push_back(rank);
    }
    for (std::size_t index = 0; index < rules; ++index)
    {
        content.rules.push_back({"rule-" + std::to_string(index),
                                 "service-" + std::to_string(index),
                                 "POST",
                                 "/slots",
                                 "rank-" + std::to_string(index % ranks)});
    }
    for (std::size_t index = 0; index < changes; ++index)
    {
        configuration::change_record made;
        made.change_id = "0193a5e2-7f3c-7d2b-9c41-" +
                         std::to_string(100'000'000'000 + index);
        made.revision = content.revision - changes + index + 1;
        // Only the newest records keep the text of the change.
        if (index + 32 >= changes)
        {
            made.text = "alter rank rank-7 urgency 30 worth 5 deadline 3s";
        }
        made.object = "rank:rank-7";
        content.changes.push_back(made);
    }
    return content;
}

} // namespace plantaintally::measure
