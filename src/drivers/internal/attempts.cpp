#include "drivers/internal/attempts.hpp"

#include "codec/hop_headers.hpp"
#include "drivers/internal/answer_headers.hpp"
#include "logging/logging.hpp"

#include <exception>
#include <optional>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

outgoing_request make_request(request_head const& head, exchange const& from)
{
    outgoing_request request{head.method, head.target, {}, from.body};
    request.headers.reserve(from.forwarded_headers.size() + 16);
    request.headers.push_back(
        {"Host", head.host.empty() ? head.service : head.host});
    request.headers.push_back({"X-Request-Id", head.trace_id});
    if (!head.idempotency_key.empty())
    {
        request.headers.push_back({"Idempotency-Key", head.idempotency_key});
    }
    request.headers.insert(request.headers.end(),
                           from.forwarded_headers.begin(),
                           from.forwarded_headers.end());
    return request;
}

std::uint64_t size_of(answer const& whole)
{
    std::uint64_t bytes = whole.body.size();
    for (auto const& header : whole.headers)
    {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

// The headers of a peer's answer without what nodes tell one another.
std::vector<header_field>
without_report(std::vector<header_field> const& headers)
{
    std::vector<header_field> passed;
    for (auto const& header : headers)
    {
        bool const is_own =
            equals_ignoring_case(header.name, codec::report_header) ||
            is_hop_by_hop_header(headers, header.name);
        if (!is_own)
        {
            passed.push_back(header);
        }
    }
    return passed;
}

bool has_report(answer const& whole)
{
    return !find_header(whole.headers, codec::report_header).empty();
}

} // namespace

attempts::attempts(services wanted) : chosen(std::move(wanted)) {}

void attempts::forward(forward_request const& wanted)
{
    auto const* const from = this->chosen.exchanges.find(wanted.exchange);
    if (from == nullptr)
    {
        this->fail(wanted.attempt, {attempt_failure::cancelled, false});
        return;
    }
    auto request = make_request(wanted.head, *from);
    if (wanted.head.time_left)
    {
        request.headers.push_back({"Plantaintally-Deadline-Ms",
                                   whole_milliseconds(*wanted.head.time_left)});
    }
    request.headers.push_back({"Plantaintally-Caller", wanted.head.caller});
    request.headers.push_back(codec::encode_hop_context(wanted.hop));
    this->running.try_emplace(wanted.attempt);
    this->chosen.tasks.spawn(this->run(wanted.attempt,
                                       this->chosen.peers,
                                       wanted.peer_address,
                                       std::move(request),
                                       wanted.timeout));
}

void attempts::dispatch(dispatch_request const& wanted)
{
    auto const* const from = this->chosen.exchanges.find(wanted.exchange);
    if (from == nullptr)
    {
        this->fail(wanted.attempt, {attempt_failure::cancelled, false});
        return;
    }
    outgoing_request request{
        from->head.method,
        from->head.target,
        this->chosen.spoken.dispatch_headers(wanted, from->head),
        from->body};
    request.headers.insert(request.headers.end(),
                           from->forwarded_headers.begin(),
                           from->forwarded_headers.end());
    if (!this->chosen.spoken.echoed_id_header.empty())
    {
        request.expected_id = {this->chosen.spoken.echoed_id_header,
                               wanted.trace_id};
    }
    this->running.try_emplace(wanted.attempt);
    this->chosen.tasks.spawn(this->run(wanted.attempt,
                                       this->chosen.upstream,
                                       wanted.upstream_address,
                                       std::move(request),
                                       wanted.timeout));
}

void attempts::cancel(attempt_id id)
{
    auto const found = this->running.find(id);
    if (found != this->running.end())
    {
        found->second.cancel();
    }
}

void attempts::release(attempt_id id)
{
    auto const found = this->answers.find(id);
    if (found == this->answers.end())
    {
        return;
    }
    this->retained_bytes -= size_of(*found->second);
    this->answers.erase(found);
    this->note_retained();
}

answer_ptr attempts::find_answer(attempt_id id) const
{
    auto const found = this->answers.find(id);
    return found == this->answers.end() ? nullptr : found->second;
}

std::size_t attempts::running_count() const
{
    return this->running.size();
}

asio::awaitable<void> attempts::run(attempt_id id,
                                    http_client& client,
                                    std::string address,
                                    outgoing_request request,
                                    duration timeout)
{
    bool const is_peer = &client == &this->chosen.peers;
    auto& control = this->running.at(id);
    // Stands if the call ends by an exception: it may have been written.
    call_result ended = call_failure{attempt_failure::malformed_answer, true};
    try
    {
        ended = co_await client.call(
            std::move(address), std::move(request), timeout, control);
    }
    catch (std::exception const& cause)
    {
        logging::write({logging::level::error,
                        "drivers",
                        "call-failed",
                        {{"cause", cause.what()}}});
    }
    this->running.erase(id);
    if (auto const* const failure = std::get_if<call_failure>(&ended))
    {
        this->fail(id, *failure);
        co_return;
    }
    this->finish(id, is_peer, std::move(std::get<answer>(ended)));
}

void attempts::finish(attempt_id id, bool is_peer, answer whole)
{
    attempt_answered answered;
    answered.attempt = id;
    answered.status = whole.status;
    if (is_peer)
    {
        auto report = codec::decode_hop_report(whole.headers);
        if (!report || !has_report(whole))
        {
            this->chosen.figures.add({"malformed_reports_total"});
            this->fail(id, {attempt_failure::malformed_answer, true});
            return;
        }
        answered.report = std::move(report.value());
    }
    else
    {
        auto const kind = this->chosen.spoken.classify_answer(whole);
        answered.is_upstream_refusal = kind == answer_kind::refused;
        answered.is_misdirected = kind == answer_kind::misdirected;
    }
    if (!this->retain(id, is_peer, std::move(whole)))
    {
        this->chosen.figures.add({"answers_not_retained_total"});
        this->fail(id, {attempt_failure::incomplete_answer, true});
        return;
    }
    this->chosen.hand_in(std::move(answered));
}

void attempts::fail(attempt_id id, call_failure failure)
{
    this->chosen.hand_in(
        attempt_failed{id, failure.failure, failure.is_written});
}

bool attempts::retain(attempt_id id, bool is_peer, answer whole)
{
    auto const bytes = size_of(whole);
    if (this->retained_bytes + bytes > this->chosen.max_retained_bytes)
    {
        return false;
    }
    this->retained_bytes += bytes;
    whole.headers =
        is_peer ? without_report(whole.headers)
                : this->chosen.spoken.forwarded_answer_headers(whole.headers);
    auto const kept = std::make_shared<answer const>(std::move(whole));
    // Counted as it is kept, so that release() gives back the same.
    this->retained_bytes -= bytes - size_of(*kept);
    this->answers.insert_or_assign(id, kept);
    this->note_retained();
    return true;
}

void attempts::note_retained()
{
    this->chosen.figures.set({"retained_answer_bytes"},
                             static_cast<double>(this->retained_bytes));
    this->chosen.figures.set({"retained_answers"},
                             static_cast<double>(this->answers.size()));
}

} // namespace plantaintally::drivers
