#include "drivers/dialect.hpp"

#include "drivers/internal/answer_headers.hpp"
#include "drivers/internal/arrival.hpp"
#include "drivers/internal/platform_client.hpp"

namespace plantaintally::drivers
{

namespace
{

std::vector<header_field>
native_dispatch_headers(dispatch_request const& wanted,
                        request_head const& head)
{
    std::vector<header_field> headers{
        {"Host", head.host.empty() ? head.service : head.host},
        {"X-Request-Id", wanted.trace_id}};
    if (!head.idempotency_key.empty())
    {
        headers.push_back({"Idempotency-Key", head.idempotency_key});
    }
    headers.push_back(
        {"Plantaintally-Deadline-Ms", whole_milliseconds(wanted.time_left)});
    return headers;
}

answer_kind native_answer_kind(answer const& whole)
{
    constexpr std::uint32_t service_unavailable = 503;
    bool const is_refused = whole.status == service_unavailable &&
                            find_header(whole.headers, verdict_header) ==
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
    dialect spoken;
    spoken.read_request = parse_arrival;
    spoken.answer_headers = common_headers;
    spoken.write_refusal = native_refusal;
    spoken.dispatch_headers = native_dispatch_headers;
    spoken.classify_answer = native_answer_kind;
    spoken.forwarded_answer_headers = forwarded_answer_headers;
    spoken.read_edge_call = [](incoming_request const&)
    {
        return std::optional<result<edge_call>>();
    };
    spoken.make_store_request = make_store_request;
    spoken.read_store_answer = read_store_answer;
    return spoken;
}

} // namespace plantaintally::drivers
