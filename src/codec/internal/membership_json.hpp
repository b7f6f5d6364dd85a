// Control messages of the membership protocol as JSON.
#pragma once

#include "codec/internal/base_json.hpp"
#include "membership/messages.hpp"

namespace plantaintally::codec
{

PLANTAINTALLY_ENUM(
    membership::member_status, "alive", "draining", "suspected", "gone")

// Member records make up most of the bytes of control messages. To keep them
// small, they are encoded as arrays: address, incarnation, service, zone,
// status, status version, slots. Additional elements are ignored and missing
// ones keep their defaults.
template <>
struct value_codec<membership::member_record>
{
    static json write(membership::member_record const& source)
    {
        return json::array({source.node.address,
                            source.node.incarnation,
                            source.service,
                            source.availability_zone,
                            static_cast<std::uint32_t>(source.status),
                            source.status_version,
                            source.slots});
    }

    static void read(json const& source, membership::member_record& target)
    {
        require_array(source);
        auto status = static_cast<std::uint32_t>(target.status);
        read_element(source, 0, target.node.address);
        read_element(source, 1, target.node.incarnation);
        read_element(source, 2, target.service);
        read_element(source, 3, target.availability_zone);
        read_element(source, 4, status);
        read_element(source, 5, target.status_version);
        read_element(source, 6, target.slots);
        if (status >
            static_cast<std::uint32_t>(membership::member_status::gone))
        {
            throw decode_error("unknown member status");
        }
        target.status = static_cast<membership::member_status>(status);
    }
};

PLANTAINTALLY_JSON(membership::heartbeat,
                   "heartbeat",
                   heard,
                   news,
                   view_hash,
                   configuration_revision,
                   routes_version,
                   ends_watch,
                   store_era)
PLANTAINTALLY_JSON(membership::gossip, "gossip", news, is_repair)
PLANTAINTALLY_JSON(membership::view_digest,
                   "view_digest",
                   bucket_hashes,
                   services,
                   hashes,
                   is_reply)
PLANTAINTALLY_JSON(membership::store_era_notice, "store_era_notice", era)

} // namespace plantaintally::codec
