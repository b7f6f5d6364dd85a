// How a deployment spells what a node says to the outside: requests and
// answers of callers, requests and answers of the upstream, reports of the
// upstream, and calls on the platform's service. A dialect translates and
// decides nothing. What nodes say to one another has one form only.
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

// A request's head for the reducer, and the headers that go on to the upstream.
struct arrival
{
    request_head head;
    std::optional<hop_context> hop;
    std::vector<header_field> passed_headers;
};

// Where a request came from.
struct arrival_origin
{
    request_source source = request_source::caller;
    // IP address of the other side, or the service of the local upstream.
    std::string caller;
    // Used if the request brings no id of its own.
    std::string fresh_trace_id;
};

// Who reads the answer, and for which request.
struct answer_recipient
{
    request_source source = request_source::caller;
    std::string trace_id;
};

// A refusal of this node.
struct refused_answer
{
    std::uint32_t status = 503;
    std::string detail;
    hop_report report;
};

// The headers and the body that state a refusal.
struct refusal_message
{
    std::vector<header_field> headers;
    std::string body;
};

// What an upstream's answer says of the execution.
enum class answer_kind
{
    // The upstream ran the request.
    ran,
    // The upstream states that it did not run it.
    refused,
    // Another upstream than the wanted one refused it without running it.
    misdirected
};

// What the upstream beside the node reports of itself.
struct upstream_statement
{
    upstream_incarnation life;
    upstream_phase phase = upstream_phase::ready;
    upstream_announcement announcement;
};

// Somebody asks whether the node takes work.
struct readiness_question
{
};

using edge_call = std::variant<upstream_statement, readiness_question>;

struct dialect
{
    // The head of a caller's request, or what is wrong with it.
    std::function<result<arrival>(incoming_request const&,
                                  arrival_origin const&)>
        read_request;
    // Headers that the node adds to a whole answer for a caller.
    std::function<std::vector<header_field>(answer_recipient const&,
                                            hop_report const&)>
        answer_headers;
    std::function<refusal_message(answer_recipient const&,
                                  refused_answer const&)>
        write_refusal;
    // Headers of a request to the upstream, besides those passed on.
    std::function<std::vector<header_field>(dispatch_request const&,
                                            request_head const&)>
        dispatch_headers;
    std::function<answer_kind(answer const&)> read_answer_kind;
    // The headers of an upstream's answer that go on to the caller.
    std::function<std::vector<header_field>(std::vector<header_field> const&)>
        passed_answer_headers;
    // Header in which the upstream repeats the request's id; empty: none.
    std::string answer_id_header;
    // True if an upstream's answer may end with its connection.
    bool takes_unframed_answers = false;
    // True if the upstream is asked for its health and told to drain.
    bool speaks_to_upstream = true;
    // A call at the edge listeners, or what is wrong with it; nothing if it is
    // none of this dialect.
    std::function<std::optional<result<edge_call>>(incoming_request const&)>
        read_edge_call;
    std::function<outgoing_request(store_request const&, std::string const&)>
        make_store_request;
    std::function<store_result(store_request const&, answer const&)>
        read_store_answer;
};

// The product's own interface, as docs/INTERFACES.md tells it.
dialect native_dialect();

// True for names that are equal but for the case of their letters.
bool equals_name(std::string_view left, std::string_view right);

// The value of the first header of this name, in any case; empty if none.
std::string_view find_header(std::vector<header_field> const& headers,
                             std::string_view name);

// True for headers of one connection only (RFC 9110, section 7.6.1), and for
// the length of the body, which every hop states anew.
bool is_connection_header(std::vector<header_field> const& headers,
                          std::string_view name);

// The host that an authority names: without port, in lower case.
std::string host_of(std::string_view authority);

} // namespace plantaintally::drivers
