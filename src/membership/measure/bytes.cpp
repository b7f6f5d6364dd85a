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

void add(report& out, std::string_view name, std::size_t bytes)
{
    out.add("bytes", name, "", static_cast<double>(bytes), "B");
}

template <class Message>
std::size_t of(Message message)
{
    return encoded_bytes(control_message(std::move(message)));
}

} // namespace

void measure_bytes(report& out)
{
    using membership_message = membership::message;
    std::size_t const beat = of(membership_message(sample_heartbeat(0)));
    std::size_t const one = of(membership_message(sample_gossip(1)));
    std::size_t const many = of(membership_message(sample_gossip(65)));
    add(out, "heartbeat in a cell of 16", beat);
    add(out, "gossip with one record", one);
    add(out, "each further record", (many - one) / 64);
    add(out,
        "view digest of 32 buckets",
        of(membership_message(sample_digest(32, 0))));
    std::size_t const list = of(membership_message(sample_digest(0, 101)));
    std::size_t const short_list = of(membership_message(sample_digest(0, 1)));
    add(out, "each service in a digest", (list - short_list) / 100);
    add(out,
        "configuration digest",
        of(configuration::message(configuration::revision_digest{
            1'000'000, false, true, duration(900'000), wall_time{}})));
}

} // namespace plantaintally::measure
