#include "node/internal/request_path.hpp"

#include "query/language.hpp"

#include <map>
#include <tuple>
#include <utility>

namespace plantaintally::node
{

namespace
{

// Appends the counts of one bucket as samples, one per rank, service and
// caller.
void add_samples(count_bucket const& bucket,
                 std::vector<query::work_sample>& samples)
{
    using group =
        std::tuple<std::string_view, std::string_view, std::string_view>;
    std::map<group, query::work_sample> grouped;
    for (auto const& [key, value] : bucket.values)
    {
        query::work_sample& sample =
            grouped[{key.rank, key.service, key.caller}];
        sample.start = bucket.start;
        sample.rank = key.rank;
        sample.service = key.service;
        sample.caller = key.caller;
        switch (key.kind)
        {
        case count_kind::admitted:
            sample.admitted += value;
            break;
        case count_kind::shed:
            sample.shed += value;
            break;
        case count_kind::queued:
            sample.queued += value;
            break;
        case count_kind::retried:
            sample.retried += value;
            break;
        case count_kind::refused:
            sample.refused += value;
            break;
        default:
            break;
        }
    }
    for (auto& [key, sample] : grouped)
    {
        samples.push_back(std::move(sample));
    }
}

// Holds the lists that a query needs besides the node's state.
struct query_view
{
    std::vector<membership::member_record> fleet;
    std::vector<query::work_sample> samples;
    std::string status;

    explicit query_view(state const& node)
        : fleet(membership::all_members(node.membership)),
          status(status_of(node))
    {
        for (count_bucket const& bucket : node.request_counts.buckets)
        {
            add_samples(bucket, this->samples);
        }
    }

    [[nodiscard]] query::local_view make_local_view(state const& node,
                                                    instant now) const
    {
        auto const age = configuration::confirmed_age(node.configuration, now);
        return {node.startup_options.self,
                node.startup_options.availability_zone,
                node.local_service,
                this->status,
                configuration::current(node.configuration),
                age.value_or(now.time_since_epoch()),
                this->fleet,
                this->samples,
                node.journal};
    }

private:
    static std::string status_of(state const& node)
    {
        if (!configuration::is_ready(node.configuration))
        {
            return "starting";
        }
        if (lifecycle::takes_work(node.lifecycle))
        {
            return "ready";
        }
        return node.lifecycle.upstream ? "draining" : "no-upstream";
    }
};

} // namespace

void handle_command(state& node,
                    operator_command const& received,
                    step& current)
{
    auto const parsed = query::parse_statement(received.text);
    if (parsed.has_error())
    {
        current.out.push_back(answer_operator{
            received.command, "invalid", parsed.error().message, {}});
        return;
    }
    if (auto const* change =
            std::get_if<configuration::change>(&parsed.value()))
    {
        record(current, {}, "configuration", "change-submitted", received.text);
        configuration::submit_change(
            node.configuration, received.command, *change, current);
        return;
    }
    query_view const view(node);
    query::start_query(node.queries,
                       received.command,
                       parsed.value(),
                       received.text,
                       view.make_local_view(node, current.now.monotonic),
                       current);
}

void handle_query(state& node,
                  node_id const& sender,
                  query::message const& received,
                  step& current)
{
    query_view const view(node);
    query::handle_message(node.queries,
                          sender,
                          received,
                          view.make_local_view(node, current.now.monotonic),
                          current);
}

} // namespace plantaintally::node
