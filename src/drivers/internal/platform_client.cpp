#include "drivers/internal/platform_client.hpp"

#include "codec/bounded_json.hpp"
#include "logging/logging.hpp"

#include <algorithm>
#include <chrono>
#include <exception>
#include <memory>
#include <stdexcept>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

using json = nlohmann::json;

constexpr std::uint32_t ok = 200;
constexpr std::uint32_t not_modified = 304;
constexpr std::uint32_t not_found = 404;
constexpr std::uint32_t conflict = 409;
constexpr std::uint32_t gone = 410;

std::string milliseconds(duration time)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string key_target(std::string_view key)
{
    return "/v1/kv/" + encode_segment(key);
}

// Builds the HTTP request for each type of store call.
struct request_builder
{
    outgoing_request operator()(store_get const& call) const
    {
        return {"GET", key_target(call.key), {}, nullptr};
    }

    outgoing_request operator()(store_watch const& call) const
    {
        return {"GET",
                key_target(call.key) +
                    "?after=" + std::to_string(call.after_revision) +
                    "&wait_ms=" + milliseconds(call.limit),
                {},
                nullptr};
    }

    outgoing_request operator()(store_compare_and_set const& call) const
    {
        json body{{"value", call.value},
                  {"expected_revision", call.expected_revision}};
        if (!call.lease.empty())
        {
            body["lease"] = call.lease;
        }
        return with_body("PUT", key_target(call.key), body);
    }

    outgoing_request operator()(store_grant_lease const& call) const
    {
        auto const time = std::chrono::duration_cast<std::chrono::milliseconds>(
            call.time_to_live);
        return with_body("POST", "/v1/leases", {{"ttl_ms", time.count()}});
    }

    outgoing_request operator()(store_renew_lease const& call) const
    {
        return {"PUT",
                "/v1/leases/" + encode_segment(call.lease),
                {},
                std::make_shared<std::string const>()};
    }

    static outgoing_request
    with_body(std::string method, std::string target, json const& body)
    {
        return {std::move(method),
                std::move(target),
                {{"Content-Type", "application/json"}},
                std::make_shared<std::string const>(codec::write_json(body))};
    }
};

// Reads an unsigned integer member; throws if it is missing or of another type.
std::uint64_t read_number(json const& body, char const* name)
{
    json const& member = body.at(name);
    if (!member.is_number_unsigned())
    {
        throw std::invalid_argument("not a number");
    }
    return member.get<std::uint64_t>();
}

store_result read_entry(json const& body)
{
    return store_entry{body.at("key").get<std::string>(),
                       body.at("value").get<std::string>(),
                       read_number(body, "revision")};
}

store_result read_lease(json const& body)
{
    json const& lease = body.at("lease");
    auto const name = lease.is_string()
                          ? lease.get<std::string>()
                          : std::to_string(read_number(body, "lease"));
    return store_lease_held{
        name, std::chrono::milliseconds(read_number(body, "ttl_ms"))};
}

// Converts the response to each type of store call. An unexpected status or
// body leaves open whether a write was made.
struct answer_reader
{
    std::uint32_t status;
    json const& body;

    store_result operator()(store_get const&) const
    {
        if (this->status == not_found)
        {
            return store_missing{};
        }
        return this->status == ok ? read_entry(this->body)
                                  : store_unavailable{true};
    }

    store_result operator()(store_watch const&) const
    {
        if (this->status == not_modified)
        {
            return store_unchanged{};
        }
        return (*this)(store_get{});
    }

    store_result operator()(store_compare_and_set const& call) const
    {
        switch (this->status)
        {
        case ok:
            return store_written{read_number(this->body, "revision")};
        case conflict:
            return store_conflict{read_number(this->body, "revision")};
        case gone:
            return store_lease_lost{call.lease};
        default:
            return store_unavailable{true};
        }
    }

    store_result operator()(store_grant_lease const&) const
    {
        return this->status == ok ? read_lease(this->body)
                                  : store_unavailable{true};
    }

    store_result operator()(store_renew_lease const& call) const
    {
        if (this->status == not_found)
        {
            return store_lease_lost{call.lease};
        }
        return this->status == ok ? read_lease(this->body)
                                  : store_unavailable{true};
    }
};

duration watch_wait_time(store_request const& store_call)
{
    auto const* const watch = std::get_if<store_watch>(&store_call);
    return watch == nullptr ? duration::zero() : watch->limit;
}

std::string_view result_name(store_result const& result)
{
    struct name_visitor
    {
        std::string_view operator()(store_entry const&) const
        {
            return "entry";
        }
        std::string_view operator()(store_missing const&) const
        {
            return "missing";
        }
        std::string_view operator()(store_unchanged const&) const
        {
            return "unchanged";
        }
        std::string_view operator()(store_history_lost const&) const
        {
            return "history-lost";
        }
        std::string_view operator()(store_written const&) const
        {
            return "written";
        }
        std::string_view operator()(store_conflict const&) const
        {
            return "conflict";
        }
        std::string_view operator()(store_lease_held const&) const
        {
            return "lease-held";
        }
        std::string_view operator()(store_lease_lost const&) const
        {
            return "lease-lost";
        }
        std::string_view operator()(store_unavailable const&) const
        {
            return "unavailable";
        }
    };
    return std::visit(name_visitor{}, result);
}

std::string describe_cause(call_result const& call_outcome)
{
    if (auto const* const failure = std::get_if<call_failure>(&call_outcome))
    {
        return std::string(to_string(failure->failure));
    }
    return "status-" + std::to_string(std::get<answer>(call_outcome).status);
}

// Tells a store that is slow from one that rejects calls or is out of reach.
void log_failed_call(store_call_id call,
                     call_result const& call_outcome,
                     duration elapsed)
{
    logging::write({logging::level::debug,
                    "store",
                    "call-failed",
                    {{"call", std::to_string(call.value)},
                     {"cause", describe_cause(call_outcome)},
                     {"took_ms", milliseconds(elapsed)}}});
}

} // namespace

std::string encode_segment(std::string_view key)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned nibble = 4;
    constexpr unsigned low_bits = 0xf;
    constexpr std::string_view unreserved =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    std::string encoded;
    for (char const character : key)
    {
        if (unreserved.find(character) != std::string_view::npos)
        {
            encoded += character;
            continue;
        }
        auto const code = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[code >> nibble];
        encoded += digits[code & low_bits];
    }
    return encoded;
}

outgoing_request make_store_request(store_request const& store_call,
                                    std::string const& host)
{
    auto request = std::visit(request_builder{}, store_call);
    request.headers.push_back({"Host", host});
    return request;
}

store_result read_store_answer(store_request const& store_call,
                               answer const& received)
{
    auto const parsed = codec::parse_json(received.body);
    json const body = parsed ? parsed.value() : json();
    try
    {
        return std::visit(answer_reader{received.status, body}, store_call);
    }
    catch (std::exception const&)
    {
        return store_unavailable{true};
    }
}

platform_client::platform_client(services required)
    : dependencies(std::move(required))
{
}

void platform_client::call(call_store const& store_call)
{
    this->dependencies.tasks.spawn(this->run(store_call));
}

asio::awaitable<void> platform_client::run(call_store store_call)
{
    auto timeout =
        this->dependencies.timeout + watch_wait_time(store_call.request);
    if (store_call.timeout > duration::zero())
    {
        timeout = std::min(timeout, store_call.timeout);
    }
    call_control control;
    auto request = this->dependencies.external_dialect.make_store_request(
        store_call.request, this->dependencies.address);
    logging::write({logging::level::debug,
                    "store",
                    "called",
                    {{"call", std::to_string(store_call.call.value)},
                     {"method", request.method},
                     {"target", request.target}}});
    auto const begun = std::chrono::steady_clock::now();
    // Result if the call throws: the request may have been written.
    call_result call_outcome =
        call_failure{attempt_failure::malformed_answer, true};
    try
    {
        call_outcome = co_await this->dependencies.client.call(
            this->dependencies.address, std::move(request), timeout, control);
    }
    catch (std::exception const& cause)
    {
        logging::write({logging::level::error,
                        "drivers",
                        "call-failed",
                        {{"cause", cause.what()}}});
    }
    store_result result = store_unavailable{true};
    std::uint64_t era = 0;
    if (auto const* const failure = std::get_if<call_failure>(&call_outcome))
    {
        result = store_unavailable{failure->is_written};
    }
    else
    {
        auto const& received = std::get<answer>(call_outcome);
        result = this->dependencies.external_dialect.read_store_answer(
            store_call.request, received);
        era = this->dependencies.external_dialect.read_store_era(received);
    }
    if (std::holds_alternative<store_unavailable>(result))
    {
        log_failed_call(store_call.call,
                        call_outcome,
                        std::chrono::duration_cast<duration>(
                            std::chrono::steady_clock::now() - begun));
    }
    this->dependencies.driver_metrics.add(
        {"store_calls_total", "result", result_name(result), {}, {}});
    this->dependencies.submit_event(store_replied{
        store_call.call, store_call.client, std::move(result), era});
}

} // namespace plantaintally::drivers
