#include "messages/step.hpp"

#include <utility>

namespace plantaintally
{

void record(step& current,
            std::string_view trace_id,
            std::string_view subject,
            std::string_view kind,
            std::string detail)
{
    timeline_entry entry;
    entry.at = timeline::advance(current.clock, current.now.wall);
    entry.trace_id = trace_id;
    entry.subject = subject;
    entry.kind = kind;
    entry.detail = std::move(detail);
    current.out.push_back(record_entry{std::move(entry)});
}

} // namespace plantaintally
