#include "once/internal/epoch_json.hpp"

#include <nlohmann/json.hpp>

namespace plantaintally::once
{

namespace
{

using json = nlohmann::json;

json write_nodes(std::vector<node_id> const& nodes)
{
    json list = json::array();
    for (node_id const& node : nodes)
    {
        list.push_back(
            {{"address", node.address}, {"incarnation", node.incarnation}});
    }
    return list;
}

std::vector<node_id> read_nodes(json const& list)
{
    std::vector<node_id> nodes;
    for (json const& item : list)
    {
        nodes.push_back({item.at("address").get<std::string>(),
                         item.at("incarnation").get<std::uint64_t>()});
    }
    return nodes;
}

epoch read_epoch(json const& item)
{
    epoch read;
    read.number = item.at("number").get<std::uint64_t>();
    read.members = read_nodes(item.at("members"));
    read.vouchers = read_nodes(item.at("vouchers"));
    return read;
}

} // namespace

std::string encode_epochs(epoch_document const& document)
{
    json epochs = json::array();
    for (epoch const& listed : document.epochs)
    {
        epochs.push_back({{"number", listed.number},
                          {"members", write_nodes(listed.members)},
                          {"vouchers", write_nodes(listed.vouchers)}});
    }
    return json{{"epochs", epochs}}.dump();
}

result<epoch_document> decode_epochs(std::string_view text)
{
    epoch_document document;
    try
    {
        json const read = json::parse(text);
        for (json const& item : read.at("epochs"))
        {
            document.epochs.push_back(read_epoch(item));
        }
    }
    catch (json::exception const& failure)
    {
        return fail(errc::invalid_input, failure.what());
    }
    if (document.epochs.empty())
    {
        return fail(errc::invalid_input, "the epoch document lists no epoch");
    }
    for (std::size_t i = 1; i < document.epochs.size(); ++i)
    {
        if (document.epochs[i].number != document.epochs[i - 1].number + 1)
        {
            return fail(errc::invalid_input,
                        "epoch numbers are not consecutive");
        }
    }
    return document;
}

} // namespace plantaintally::once
