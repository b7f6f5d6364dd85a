#include "base/hash.hpp"
#include "codec/control_codec.hpp"
#include "codec/document_codec.hpp"
#include "membership/internal/view.hpp"
#include "membership/measure/samples.hpp"
#include "membership/measure/sections.hpp"

#include <utility>

namespace plantaintally::measure
{

namespace
{

constexpr std::size_t cell_peers = 15;

std::size_t encoded_bytes(control_message message)
{
    control_envelope envelope;
    envelope.sender = sample_member(1).node;
    envelope.sent_at = {1'796'000'000'000'000, 3};
    envelope.message = std::move(message);
    return codec::encode_control(envelope).size();
}

membership::heartbeat sample_heartbeat(std::size_t news)
{
    membership::heartbeat beat;
    beat.view_hash = stable_hash("view");
    beat.configuration_revision = 1'000'000;
    for (std::size_t number = 0; number < cell_peers; ++number)
    {
        beat.heard.push_back(membership::short_hash(sample_address(number)));
    }
    for (std::size_t number = 0; number < news; ++number)
    {
        beat.news.push_back(sample_member(number));
    }
    return beat;
}

membership::gossip sample_gossip(std::size_t news)
{
    return membership::gossip{sample_heartbeat(news).news, false};
}

membership::view_digest sample_digest(std::size_t buckets, std::size_t services)
{
    membership::view_digest digest;
    for (std::size_t number = 0; number < buckets; ++number)
    {
        digest.bucket_hashes.push_back(stable_hash(std::to_string(number)));
    }
    for (std::size_t number = 0; number < services; ++number)
    {
        digest.services.push_back("service-" + std::to_string(number));
        digest.hashes.push_back(stable_hash(digest.services.back()));
    }
    return digest;
}

void add_bytes(report& out, std::string_view name, std::size_t bytes)
{
    out.add("bytes", name, "", static_cast<double>(bytes), "B");
}

template <class Message>
std::size_t message_bytes(Message message)
{
    return encoded_bytes(control_message(std::move(message)));
}

} // namespace

void measure_bytes(report& out)
{
    using membership_message = membership::message;
    std::size_t const heartbeat_bytes =
        message_bytes(membership_message(sample_heartbeat(0)));
    std::size_t const one_record_bytes =
        message_bytes(membership_message(sample_gossip(1)));
    std::size_t const many_records_bytes =
        message_bytes(membership_message(sample_gossip(65)));
    add_bytes(out, "heartbeat in a cell of 16", heartbeat_bytes);
    add_bytes(out, "gossip with one record", one_record_bytes);
    add_bytes(out,
              "each further record",
              (many_records_bytes - one_record_bytes) / 64);
    add_bytes(out,
              "view digest of 32 buckets",
              message_bytes(membership_message(sample_digest(32, 0))));
    std::size_t const many_services_bytes =
        message_bytes(membership_message(sample_digest(0, 101)));
    std::size_t const one_service_bytes =
        message_bytes(membership_message(sample_digest(0, 1)));
    add_bytes(out,
              "each service in a digest",
              (many_services_bytes - one_service_bytes) / 100);
    add_bytes(
        out,
        "configuration digest",
        message_bytes(configuration::message(configuration::revision_digest{
            1'000'000, false, true, duration(900'000), wall_time{}})));
}

} // namespace plantaintally::measure
