#include "drivers/dialect.hpp"

#include "drivers/internal/answer_headers.hpp"
#include "drivers/internal/arrival.hpp"
#include "drivers/internal/platform_client.hpp"

namespace plantaintally::drivers
{

namespace
{

std::vector<header_field>
native_dispatch_headers(dispatch_request const& effect,
                        request_head const& head)
{
    std::vector<header_field> headers{
        {"Host", head.host.empty() ? head.service : head.host},
        {"X-Request-Id", effect.trace_id}};
    if (!head.idempotency_key.empty())
    {
        headers.push_back({"Idempotency-Key", head.idempotency_key});
    }
    headers.push_back(
        {"Plantaintally-Deadline-Ms", format_milliseconds(effect.time_left)});
    return headers;
}

answer_kind native_answer_kind(answer const& full_answer)
{
    constexpr std::uint32_t service_unavailable = 503;
    bool const is_refused = full_answer.status == service_unavailable &&
                            find_header(full_answer.headers, verdict_header) ==
                                to_string(verdict::not_run);
    return is_refused ? answer_kind::refused : answer_kind::ran;
}

refusal_message native_refusal(answer_recipient const& recipient,
                               refused_answer const& refused)
{
    bool const is_peer = recipient.source == request_source::peer;
    return {refusal_headers(recipient, refused),
            is_peer ? std::string() : write_problem(to_problem(refused))};
}

} // namespace

dialect native_dialect()
{
    dialect native;
    native.read_request = parse_request;
    native.answer_headers = common_headers;
    native.write_refusal = native_refusal;
    native.dispatch_headers = native_dispatch_headers;
    native.classify_answer = native_answer_kind;
    native.forwarded_answer_headers = forwarded_answer_headers;
    native.read_edge_call = [](incoming_request const&)
    {
        return std::optional<result<edge_call>>();
    };
    native.make_store_request = make_store_request;
    native.read_store_answer = read_store_answer;
    native.read_store_era = [](answer const&)
    {
        return std::uint64_t{0};
    };
    return native;
}

} // namespace plantaintally::drivers
