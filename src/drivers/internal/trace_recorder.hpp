// Records every event of the reducer to a file, as JSON lines.
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
    // An empty name turns the recording off. Fails if the file can't be opened.
    result<void> open(std::string const& file_name);
    // Must be called before the event is reduced.
    void record(moment const& at, event const& happened);
    void flush();

private:
    std::ofstream file;
    bool is_enabled = false;
};

} // namespace plantaintally::drivers
