#include "drivers/internal/platform_client.hpp"

#include "codec/bounded_json.hpp"
#include "logging/logging.hpp"

#include <algorithm>
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

// Builds the request of each kind of call.
struct request_maker
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

// A member of an answer; throws if it is missing or of another type.
std::uint64_t number_in(json const& body, char const* name)
{
    json const& member = body.at(name);
    if (!member.is_number_unsigned())
    {
        throw std::invalid_argument("not a number");
    }
    return member.get<std::uint64_t>();
}

store_result entry_of(json const& body)
{
    return store_entry{body.at("key").get<std::string>(),
                       body.at("value").get<std::string>(),
                       number_in(body, "revision")};
}

store_result lease_of(json const& body)
{
    json const& lease = body.at("lease");
    auto const name = lease.is_string()
                          ? lease.get<std::string>()
                          : std::to_string(number_in(body, "lease"));
    return store_lease_held{
        name, std::chrono::milliseconds(number_in(body, "ttl_ms"))};
}

// Reads the answer to each kind of call. A status that is not foreseen, or a
// body that does not fit, leaves open whether a write was made.
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
        return this->status == ok ? entry_of(this->body)
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
            return store_written{number_in(this->body, "revision")};
        case conflict:
            return store_conflict{number_in(this->body, "revision")};
        case gone:
            return store_lease_lost{call.lease};
        default:
            return store_unavailable{true};
        }
    }

    store_result operator()(store_grant_lease const&) const
    {
        return this->status == ok ? lease_of(this->body)
                                  : store_unavailable{true};
    }

    store_result operator()(store_renew_lease const& call) const
    {
        if (this->status == not_found)
        {
            return store_lease_lost{call.lease};
        }
        return this->status == ok ? lease_of(this->body)
                                  : store_unavailable{true};
    }
};

duration extra_time(store_request const& wanted)
{
    auto const* const watch = std::get_if<store_watch>(&wanted);
    return watch == nullptr ? duration::zero() : watch->limit;
}

std::string_view result_name(store_result const& result)
{
    struct namer
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
    return std::visit(namer{}, result);
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
    for (char const letter : key)
    {
        if (unreserved.find(letter) != std::string_view::npos)
        {
            encoded += letter;
            continue;
        }
        auto const code = static_cast<unsigned char>(letter);
        encoded += '%';
        encoded += digits[code >> nibble];
        encoded += digits[code & low_bits];
    }
    return encoded;
}

outgoing_request make_store_request(store_request const& wanted,
                                    std::string const& host)
{
    auto request = std::visit(request_maker{}, wanted);
    request.headers.push_back({"Host", host});
    return request;
}

store_result read_store_answer(store_request const& wanted,
                               answer const& received)
{
    auto const parsed = codec::parse_json(received.body);
    json const body = parsed ? parsed.value() : json();
    try
    {
        return std::visit(answer_reader{received.status, body}, wanted);
    }
    catch (std::exception const&)
    {
        return store_unavailable{true};
    }
}

platform_client::platform_client(services wanted) : chosen(std::move(wanted)) {}

void platform_client::call(call_store const& wanted)
{
    this->chosen.tasks.spawn(this->run(wanted));
}

asio::awaitable<void> platform_client::run(call_store wanted)
{
    auto timeout = this->chosen.timeout + extra_time(wanted.request);
    if (wanted.timeout > duration::zero())
    {
        timeout = std::min(timeout, wanted.timeout);
    }
    call_control control;
    auto request = this->chosen.spoken.make_store_request(wanted.request,
                                                          this->chosen.address);
    logging::write({logging::level::debug,
                    "store",
                    "called",
                    {{"call", std::to_string(wanted.call.value)},
                     {"method", request.method},
                     {"target", request.target}}});
    // Stands if the call ends by an exception: it may have been written.
    call_result ended = call_failure{attempt_failure::malformed_answer, true};
    try
    {
        ended = co_await this->chosen.client.call(
            this->chosen.address, std::move(request), timeout, control);
    }
    catch (std::exception const& cause)
    {
        logging::write({logging::level::error,
                        "drivers",
                        "call-failed",
                        {{"cause", cause.what()}}});
    }
    store_result result = store_unavailable{true};
    if (auto const* const failure = std::get_if<call_failure>(&ended))
    {
        result = store_unavailable{failure->is_written};
    }
    else
    {
        result = this->chosen.spoken.read_store_answer(wanted.request,
                                                       std::get<answer>(ended));
    }
    this->chosen.figures.add(
        {"store_calls_total", "result", result_name(result), {}, {}});
    this->chosen.hand_in(
        store_replied{wanted.call, wanted.client, std::move(result)});
}

} // namespace plantaintally::drivers
