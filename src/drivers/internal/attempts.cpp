#include "drivers/internal/attempts.hpp"

#include "codec/hop_headers.hpp"
#include "drivers/internal/answer_headers.hpp"
#include "drivers/internal/arrival.hpp"
#include "logging/logging.hpp"

#include <algorithm>
#include <exception>
#include <iterator>
#include <optional>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

outgoing_request make_request(request_head const& head,
                              exchange const& exchange_record)
{
    outgoing_request request{
        head.method, head.target, {}, exchange_record.body};
    request.headers.reserve(exchange_record.forwarded_headers.size() + 16);
    request.headers.push_back(
        {"Host", head.host.empty() ? head.service : head.host});
    request.headers.push_back({"X-Request-Id", head.trace_id});
    if (!head.idempotency_key.empty())
    {
        request.headers.push_back({"Idempotency-Key", head.idempotency_key});
    }
    std::ranges::transform(exchange_record.forwarded_headers,
                           std::back_inserter(request.headers),
                           to_peer_header);
    return request;
}

std::uint64_t size_of(answer const& full_answer)
{
    std::uint64_t bytes = full_answer.body.size();
    for (auto const& header : full_answer.headers)
    {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

// Removes the hop report and the hop-by-hop headers from a peer's response.
std::vector<header_field>
without_report(std::vector<header_field> const& headers)
{
    std::vector<header_field> forwardable;
    for (auto const& header : headers)
    {
        bool const is_hop_only =
            equals_ignoring_case(header.name, codec::report_header) ||
            is_hop_by_hop_header(headers, header.name);
        if (!is_hop_only)
        {
            forwardable.push_back(header);
        }
    }
    return forwardable;
}

bool has_report(answer const& full_answer)
{
    return !find_header(full_answer.headers, codec::report_header).empty();
}

} // namespace

attempts::attempts(services required) : dependencies(std::move(required)) {}

void attempts::forward(forward_request const& effect)
{
    auto const* const exchange_record =
        this->dependencies.exchanges.find(effect.exchange);
    if (exchange_record == nullptr)
    {
        this->fail(effect.attempt, {attempt_failure::cancelled, false});
        return;
    }
    auto request = make_request(effect.head, *exchange_record);
    if (effect.head.time_left)
    {
        request.headers.push_back(
            {"Plantaintally-Deadline-Ms",
             format_milliseconds(*effect.head.time_left)});
    }
    request.headers.push_back({"Plantaintally-Caller", effect.head.caller});
    request.headers.push_back(codec::encode_hop_context(effect.hop));
    this->running.try_emplace(effect.attempt);
    this->dependencies.tasks.spawn(this->run(effect.attempt,
                                             this->dependencies.peers,
                                             effect.peer_address,
                                             std::move(request),
                                             effect.timeout));
}

void attempts::dispatch(dispatch_request const& effect)
{
    auto const* const exchange_record =
        this->dependencies.exchanges.find(effect.exchange);
    if (exchange_record == nullptr)
    {
        this->fail(effect.attempt, {attempt_failure::cancelled, false});
        return;
    }
    outgoing_request request{
        exchange_record->head.method,
        exchange_record->head.target,
        this->dependencies.external_dialect.dispatch_headers(
            effect, exchange_record->head),
        exchange_record->body};
    request.headers.insert(request.headers.end(),
                           exchange_record->forwarded_headers.begin(),
                           exchange_record->forwarded_headers.end());
    if (!this->dependencies.external_dialect.echoed_id_header.empty())
    {
        request.expected_answer_header = {
            this->dependencies.external_dialect.echoed_id_header,
            effect.trace_id};
    }
    this->running.try_emplace(effect.attempt);
    this->dependencies.tasks.spawn(this->run(effect.attempt,
                                             this->dependencies.upstream,
                                             effect.upstream_address,
                                             std::move(request),
                                             effect.timeout));
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
    this->dependencies.retained->release(size_of(*found->second));
    this->answers.erase(found);
    this->publish_retained_metrics();
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
    bool const is_peer = &client == &this->dependencies.peers;
    auto& control = this->running.at(id);
    // Result if the call throws: the request may have been written.
    call_result call_outcome =
        call_failure{attempt_failure::malformed_answer, true};
    try
    {
        call_outcome = co_await client.call(
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
    if (auto const* const failure = std::get_if<call_failure>(&call_outcome))
    {
        this->fail(id, *failure);
        co_return;
    }
    this->finish(id, is_peer, std::move(std::get<answer>(call_outcome)));
}

void attempts::finish(attempt_id id, bool is_peer, answer full_answer)
{
    attempt_answered answered;
    answered.attempt = id;
    answered.status = full_answer.status;
    if (is_peer)
    {
        auto report = codec::decode_hop_report(full_answer.headers);
        if (!report || !has_report(full_answer))
        {
            this->dependencies.driver_metrics.add({"malformed_reports_total"});
            this->fail(id, {attempt_failure::malformed_answer, true});
            return;
        }
        answered.report = std::move(report.value());
    }
    else
    {
        auto const kind =
            this->dependencies.external_dialect.classify_answer(full_answer);
        if (kind == answer_kind::unproven)
        {
            this->fail(id, {attempt_failure::malformed_answer, true});
            return;
        }
        answered.is_upstream_refusal = kind == answer_kind::refused;
        answered.is_misdirected = kind == answer_kind::misdirected;
        answered.is_misleading = kind == answer_kind::misleading;
    }
    if (!this->retain(id, is_peer, std::move(full_answer)))
    {
        this->dependencies.driver_metrics.add({"answers_not_retained_total"});
        this->fail(id, {attempt_failure::incomplete_answer, true});
        return;
    }
    this->dependencies.submit_event(std::move(answered));
}

void attempts::fail(attempt_id id, call_failure failure)
{
    this->dependencies.submit_event(
        attempt_failed{id, failure.failure, failure.is_written});
}

bool attempts::retain(attempt_id id, bool is_peer, answer full_answer)
{
    auto const bytes = size_of(full_answer);
    if (!this->dependencies.retained->keep(bytes))
    {
        return false;
    }
    full_answer.headers =
        is_peer ? without_report(full_answer.headers)
                : this->dependencies.external_dialect.forwarded_answer_headers(
                      full_answer.headers);
    auto const kept = std::make_shared<answer const>(std::move(full_answer));
    // Counts the retained headers only, so that release() subtracts the same
    // amount.
    this->dependencies.retained->release(bytes - size_of(*kept));
    this->answers.insert_or_assign(id, kept);
    this->publish_retained_metrics();
    return true;
}

void attempts::publish_retained_metrics()
{
    this->dependencies.driver_metrics.set(
        {"retained_answer_bytes"},
        static_cast<double>(this->dependencies.retained->kept_bytes()));
    this->dependencies.driver_metrics.set(
        {"retained_answers"}, static_cast<double>(this->answers.size()));
}

} // namespace plantaintally::drivers
