#include "drivers/internal/upstream_probe.hpp"

#include "codec/bounded_json.hpp"

#include <limits>
#include <memory>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

constexpr duration probe_timeout = std::chrono::milliseconds(500);
constexpr duration drain_timeout = std::chrono::seconds(2);
constexpr std::uint32_t ok = 200;

outgoing_request
make_request(std::string method, std::string target, std::string const& host)
{
    return {std::move(method),
            std::move(target),
            {{"Host", host}},
            std::make_shared<std::string const>()};
}

} // namespace

std::optional<health_hint> read_health(std::string_view body)
{
    auto const parsed = codec::parse_json(body);
    if (!parsed || !parsed.value().is_object())
    {
        return std::nullopt;
    }
    auto const healthy = parsed.value().find("healthy");
    auto const load = parsed.value().find("load_permille");
    auto const end = parsed.value().end();
    if (healthy == end || !healthy->is_boolean())
    {
        return std::nullopt;
    }
    health_hint hint{healthy->get<bool>(), 0};
    constexpr std::uint64_t highest = std::numeric_limits<std::uint32_t>::max();
    if (load != end && load->is_number_unsigned() &&
        load->get<std::uint64_t>() <= highest)
    {
        hint.load_permille = load->get<std::uint32_t>();
    }
    return hint;
}

upstream_probe::upstream_probe(services required)
    : dependencies(std::move(required))
{
}

void upstream_probe::probe(std::string const& address)
{
    if (!this->is_probing)
    {
        this->is_probing = true;
        this->dependencies.tasks.spawn(this->run_probe(address));
    }
}

void upstream_probe::check(check_upstream const& requested)
{
    this->dependencies.tasks.spawn(this->run_check(requested));
}

void upstream_probe::drain(std::string const& address)
{
    this->dependencies.tasks.spawn(this->run_drain(address));
}

asio::awaitable<void> upstream_probe::run_probe(std::string address)
{
    call_control control;
    auto request = make_request("GET", "/healthz", address);
    auto const call_outcome = co_await this->dependencies.client.call(
        address, std::move(request), probe_timeout, control);
    this->is_probing = false;
    auto const* const read = std::get_if<answer>(&call_outcome);
    if (read == nullptr || read->status != ok)
    {
        co_return;
    }
    if (auto const hint = read_health(read->body))
    {
        this->dependencies.submit_event(*hint);
    }
}

asio::awaitable<void> upstream_probe::run_check(check_upstream requested)
{
    call_control control;
    auto request = make_request("GET", requested.path, requested.address);
    // An answer on a used connection could be a late one to an earlier request.
    this->dependencies.check_connections.close_idle();
    auto const call_outcome = co_await this->dependencies.check_client.call(
        requested.address, std::move(request), requested.timeout, control);
    this->dependencies.check_connections.close_idle();
    upstream_checked checked{requested.check, {}};
    auto const* const read = std::get_if<answer>(&call_outcome);
    if (read != nullptr && read->status == ok)
    {
        checked.instance = find_header(
            read->headers, this->dependencies.external_dialect.instance_header);
    }
    this->dependencies.submit_event(std::move(checked));
}

asio::awaitable<void> upstream_probe::run_drain(std::string address)
{
    call_control control;
    auto request = make_request("POST", "/plantaintally/v1/drain", address);
    co_await this->dependencies.client.call(
        address, std::move(request), drain_timeout, control);
}

} // namespace plantaintally::drivers
