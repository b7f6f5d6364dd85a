// Statements of the operators' language, as data.
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

// What the rows of an answer about work are grouped by.
enum class dimension
{
    rank,
    service,
    upstream,
    availability_zone,
    caller
};

// A count of requests that an answer about work can show.
enum class work_figure
{
    admitted,
    shed,
    queued,
    retried,
    refused
};

// Keeps the rows whose column has this value.
struct filter
{
    dimension column = dimension::rank;
    std::string value;

    bool operator==(filter const&) const = default;
};

// Counts of requests, grouped, over the last span of time. No figures stands
// for all of them; no grouping groups by rank.
struct show_work
{
    std::vector<work_figure> figures;
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

// The accepted changes, newest first.
struct show_changes
{
    bool operator==(show_changes const&) const = default;
};

// The revision in force at every node.
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

// The time line of every node over the last span of time.
struct show_timeline
{
    duration last = std::chrono::seconds(10);

    bool operator==(show_timeline const&) const = default;
};

// Why a request ended as it did: its time line across processes.
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
