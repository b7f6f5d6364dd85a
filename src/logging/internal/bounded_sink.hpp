// A log sink that never blocks: while the reader of the stream is slow, lines
// are kept in a bounded buffer; when it is full, further lines are dropped and
// counted.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace plantaintally::logging
{

class bounded_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    // Writes to an open file descriptor. The sink does not close it.
    explicit bounded_sink(int descriptor);

    // Number of lines dropped since the sink was created.
    std::uint64_t dropped_count();

protected:
    void sink_it_(spdlog::details::log_msg const& line) override;
    void flush_() override;

private:
    int stream_descriptor;
    std::string buffer;
    std::uint64_t dropped = 0;
};

} // namespace plantaintally::logging
