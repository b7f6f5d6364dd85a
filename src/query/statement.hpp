// Parsed statements of the operators' language.
#pragma once

#include "base/moment.hpp"
#include "configuration/change.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace plantaintally::query
{

// A column by which request counts are grouped or filtered.
enum class dimension
{
    rank,
    service,
    upstream,
    availability_zone,
    caller
};

// A request counter that show_work can select.
enum class work_counter
{
    admitted,
    shed,
    queued,
    retried,
    refused
};

// Selects the rows that have this value in the column.
struct filter
{
    dimension column = dimension::rank;
    std::string value;

    bool operator==(filter const&) const = default;
};

// Request counts over the last span of time. If `counters` is empty, all
// counters are shown; if `grouping` is empty, the counts are grouped by rank.
struct show_work
{
    std::vector<work_counter> counters;
    std::vector<dimension> grouping;
    std::vector<filter> filters;
    duration last = std::chrono::minutes(1);

    bool operator==(show_work const&) const = default;
};

struct show_ranks
{
    bool operator==(show_ranks const&) const = default;
};

struct show_rules
{
    bool operator==(show_rules const&) const = default;
};

// The remembered changes to the configuration, newest first.
struct show_changes
{
    bool operator==(show_changes const&) const = default;
};

// The revisions in force, with the number of nodes at each.
struct show_configuration
{
    bool operator==(show_configuration const&) const = default;
};

// The nodes and their upstreams.
struct show_members
{
    std::vector<filter> filters;

    bool operator==(show_members const&) const = default;
};

// The time line entries of all nodes over the last span of time.
struct show_timeline
{
    duration last = std::chrono::seconds(10);

    bool operator==(show_timeline const&) const = default;
};

// The time line entries of one request at all nodes, which explain its outcome.
struct why_request
{
    std::string trace_id;

    bool operator==(why_request const&) const = default;
};

struct show_help
{
    bool operator==(show_help const&) const = default;
};

using statement = std::variant<show_work,
                               show_ranks,
                               show_rules,
                               show_changes,
                               show_configuration,
                               show_members,
                               show_timeline,
                               why_request,
                               show_help,
                               configuration::change>;

} // namespace plantaintally::query
