#include "standin/answer_body.hpp"

#include "base/hash.hpp"

#include <charconv>
#include <random>

namespace plantaintally::standin
{

namespace
{

std::string make_payload(std::string_view request_id, std::size_t bytes)
{
    constexpr std::string_view alphabet =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789+-";
    constexpr std::size_t mask = 63;
    std::minstd_rand random(
        static_cast<std::uint32_t>(stable_hash(request_id)));
    std::string payload(bytes, ' ');
    for (auto& letter : payload)
    {
        letter = alphabet[random() & mask];
    }
    return payload;
}

// Returns the text between `name` and the next space; empty if the line does
// not contain `name`.
std::string_view field(std::string_view line, std::string_view name)
{
    auto const start = line.find(name);
    if (start == std::string_view::npos)
    {
        return {};
    }
    auto const rest = line.substr(start + name.size());
    return rest.substr(0, rest.find(' '));
}

bool equals_number(std::string_view text, std::uint64_t expected)
{
    std::uint64_t value = 0;
    auto const parsed =
        std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} && value == expected;
}

} // namespace

std::string make_answer_body(std::string_view request_id,
                             std::string_view upstream,
                             std::size_t payload_bytes)
{
    auto const payload = make_payload(request_id, payload_bytes);
    std::string body = "request=";
    body += request_id;
    body += " upstream=";
    body += upstream;
    body += " bytes=" + std::to_string(payload.size());
    body += " checksum=" + std::to_string(stable_hash(payload));
    body += "\n";
    body += payload;
    return body;
}

result<void> check_answer_body(std::string_view body,
                               std::string_view request_id)
{
    auto const line_end = body.find('\n');
    if (line_end == std::string_view::npos)
    {
        return fail(errc::invalid_input, "header line is missing");
    }
    auto const line = body.substr(0, line_end);
    auto const payload = body.substr(line_end + 1);
    if (field(line, "request=") != request_id)
    {
        return fail(errc::invalid_input, "answer belongs to another request");
    }
    if (!equals_number(field(line, "bytes="), payload.size()))
    {
        return fail(errc::invalid_input,
                    "payload length does not match the header line");
    }
    if (!equals_number(field(line, "checksum="), stable_hash(payload)))
    {
        return fail(errc::invalid_input,
                    "payload checksum does not match the header line");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace plantaintally::standin
