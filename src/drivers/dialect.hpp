// Translates between the node's internal messages and a deployment's external
// interfaces: requests and responses exchanged with callers and with the
// upstream, the upstream's reports, and calls to the platform's key-value
// store. A dialect only translates; it makes no decisions. Traffic between
// nodes always uses the native dialect.
#pragma once

#include "base/result.hpp"
#include "drivers/http.hpp"
#include "messages/effects.hpp"
#include "messages/request_types.hpp"
#include "messages/store_types.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace plantaintally::drivers
{

// A request parsed for the reducer, and the headers to forward to the upstream.
struct parsed_request
{
    request_head head;
    std::optional<hop_context> hop;
    std::vector<header_field> forwarded_headers;
};

// The origin of a request.
struct request_origin
{
    request_source source = request_source::caller;
    // IP address of the client, or the service name of the local upstream.
    std::string caller;
    // Trace id to use if the request has none.
    std::string fallback_trace_id;
    // True if the connection comes from the node's own machine.
    bool is_own_host = false;
};

// The receiver of a response: the source of the request and its trace id.
struct answer_recipient
{
    request_source source = request_source::caller;
    std::string trace_id;
};

// A refusal by this node.
struct refused_answer
{
    std::uint32_t status = 503;
    std::string detail;
    hop_report report;
};

// A refusal as HTTP headers and body.
struct refusal_message
{
    std::vector<header_field> headers;
    std::string body;
};

// What an upstream's response says about the execution of the request.
enum class answer_kind
{
    // The upstream ran the request.
    ran,
    // The upstream states that it did not run the request.
    refused,
    // An instance other than the intended one received the request and refused
    // it without running it.
    misdirected,
    // The upstream may have run the request, but callers understand the status
    // as a promise that it did not.
    misleading,
    // An answer without what shows that the upstream gave it. The request may
    // have run, and the answer is not passed on.
    unproven
};

// Status that the local upstream reports about itself.
struct upstream_report
{
    upstream_incarnation incarnation;
    upstream_phase phase = upstream_phase::ready;
    upstream_announcement announcement;
};

// Query whether the node is ready to accept work.
struct readiness_query
{
};

using edge_call = std::variant<upstream_report, readiness_query>;

struct dialect
{
    // Parses the head of a caller's request; fails with a description if it is
    // invalid.
    std::function<result<parsed_request>(incoming_request const&,
                                         request_origin const&)>
        read_request;
    // Headers that the node adds to a response that it forwards to a caller.
    std::function<std::vector<header_field>(answer_recipient const&,
                                            hop_report const&)>
        answer_headers;
    std::function<refusal_message(answer_recipient const&,
                                  refused_answer const&)>
        write_refusal;
    // Headers of a request to the upstream, in addition to the forwarded ones.
    std::function<std::vector<header_field>(dispatch_request const&,
                                            request_head const&)>
        dispatch_headers;
    std::function<answer_kind(answer const&)> classify_answer;
    // Selects the headers of an upstream's response that are forwarded to the
    // caller.
    std::function<std::vector<header_field>(std::vector<header_field> const&)>
        forwarded_answer_headers;
    // Response header in which the upstream echoes the request id; empty if it
    // does not.
    std::string echoed_id_header;
    // Response header in which a healthy upstream names its instance; empty if
    // it names none.
    std::string instance_header;
    // True if the end of the connection may delimit the body of an upstream's
    // response.
    bool allows_close_delimited_answers = false;
    // True if the node polls the upstream's health endpoint and calls its drain
    // endpoint.
    bool calls_upstream_endpoints = true;
    // Parses a request to an edge listener. Returns nothing if the dialect does
    // not define such a request, and an error if the request is invalid.
    std::function<std::optional<result<edge_call>>(incoming_request const&)>
        read_edge_call;
    std::function<outgoing_request(store_request const&, std::string const&)>
        make_store_request;
    std::function<store_result(store_request const&, answer const&)>
        read_store_answer;
    // Returns the era that an answer of the store states; zero if it states
    // none.
    std::function<std::uint64_t(answer const&)> read_store_era;
};

// The product's own interface, as described in docs/INTERFACES.md.
dialect native_dialect();

// Compares header names, ignoring the case of ASCII letters.
bool equals_ignoring_case(std::string_view left, std::string_view right);

// Returns the value of the first header with this name, ignoring case; empty if
// there is none.
std::string_view find_header(std::vector<header_field> const& headers,
                             std::string_view name);

// True for hop-by-hop headers (RFC 9110, section 7.6.1) and for Content-Length
// and Expect, which every hop handles itself.
bool is_hop_by_hop_header(std::vector<header_field> const& headers,
                          std::string_view name);

// Returns the host of an authority (host:port) in lower case, without the port.
std::string host_of(std::string_view authority);

} // namespace plantaintally::drivers
