#include "node/internal/request_path.hpp"

namespace plantaintally::node
{

void handle_command(state& node, operator_command const& asked, step& current)
{
    static_cast<void>(node);
    answer_operator effect;
    effect.command = asked.command;
    effect.status = "invalid";
    effect.message = "operators' commands are not available";
    current.out.push_back(std::move(effect));
}

void handle_query(state& node,
                  node_id const& sender,
                  query::message const& received,
                  step& current)
{
    static_cast<void>(node);
    static_cast<void>(sender);
    static_cast<void>(received);
    static_cast<void>(current);
}

} // namespace plantaintally::node
