// Writes every event of the reducer to a trace file, as JSON lines.
#pragma once

#include "base/moment.hpp"
#include "base/result.hpp"
#include "messages/events.hpp"

#include <fstream>
#include <string>

namespace plantaintally::drivers
{

class trace_recorder
{
public:
    // Opens the trace file, replacing an existing one. An empty name disables
    // the trace. Fails if the file can't be opened.
    result<void> open(std::string const& file_name);
    // Writes an event; must be called before the event is reduced.
    void record(moment const& at, event const& happened);
    void flush();

private:
    std::ofstream file;
    bool is_enabled = false;
};

} // namespace plantaintally::drivers
