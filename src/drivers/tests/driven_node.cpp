#include "driven_node.hpp"

namespace plantaintally::drivers
{

namespace
{

settings::endpoint loopback(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

settings::node_settings make_settings(driven_node::tweak const& changes)
{
    settings::node_settings config;
    config.node.availability_zone = "test";
    config.node.peer_address = loopback(find_free_port_pair());
    config.node.caller_address = loopback(find_free_port_pair());
    config.node.local_address = loopback(find_free_port_pair());
    config.platform.address = loopback(find_free_port_pair());
    if (changes)
    {
        changes(config);
    }
    return config;
}

} // namespace

driven_node::driven_node(reducer reducer_function,
                         tweak const& changes,
                         bool is_test_stopping)
    : config(make_settings(changes)), reduce_event(std::move(reducer_function)),
      is_stopped_by_test(is_test_stopping),
      node_runtime(this->config,
                   {settings::to_string(this->config.node.peer_address), 1},
                   {[this](event const& happened, moment const&)
                    { return this->reduce(happened); },
                    [] { return std::vector<node::statistic>(); },
                    []
                    {
                        return hybrid_time{7, 0};
                    }})
{
    auto const opened = this->node_runtime.open();
    if (!opened)
    {
        throw std::runtime_error(opened.error().message);
    }
    this->running = std::thread([this] { this->node_runtime.run(); });
}

driven_node::~driven_node()
{
    this->request_stop();
    this->join();
}

std::string driven_node::caller_address() const
{
    return settings::to_string(this->config.node.caller_address);
}

std::string driven_node::peer_address() const
{
    return settings::to_string(this->config.node.peer_address);
}

std::string driven_node::local_address() const
{
    return settings::to_string(this->config.node.local_address);
}

void driven_node::request_stop()
{
    this->node_runtime.request_stop();
}

void driven_node::join()
{
    if (this->running.joinable())
    {
        this->running.join();
    }
}

std::string driven_node::metric(std::string const& line_prefix)
{
    test_connection connection(this->local_address());
    connection.write("GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n");
    auto const text = body_of(connection.read_message());
    auto const at = text.find("\nplantaintally_" + line_prefix + " ");
    if (at == std::string::npos)
    {
        return {};
    }
    auto const value = text.find(' ', at) + 1;
    return text.substr(value, text.find('\n', value) - value);
}

effects driven_node::reduce(event const& happened)
{
    {
        std::lock_guard const lock(this->mutex);
        this->events.push_back(happened);
    }
    auto requested_effects = this->reduce_event(happened);
    bool const is_stop = std::holds_alternative<stop_requested>(happened);
    if (is_stop && !this->is_stopped_by_test)
    {
        requested_effects.push_back(exit_process{});
    }
    return requested_effects;
}

effects refuse_all(event const& happened)
{
    auto const* const arrived = std::get_if<request_arrived>(&happened);
    if (arrived == nullptr)
    {
        return {};
    }
    refuse_request refused{arrived->exchange, 503, "too much work", {}};
    refused.report.outcome = verdict::not_run;
    refused.report.reason = refusal::overload;
    refused.report.attempts = 2;
    refused.report.retry_after = std::chrono::milliseconds(1'200);
    return {refused};
}

} // namespace plantaintally::drivers
