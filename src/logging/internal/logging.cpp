#include "logging/logging.hpp"

#include "logging/internal/bounded_sink.hpp"

#include <fmt/chrono.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

#include <chrono>
#include <memory>

namespace plantaintally::logging
{

namespace
{

// The log of this process; closed while `logger` is null.
struct log_state
{
    options active_options;
    std::shared_ptr<spdlog::logger> logger;
    // The sink of the logger if it writes to a standard stream; else null.
    std::shared_ptr<bounded_sink> stream_sink;
};

log_state& process_log()
{
    static log_state current;
    return current;
}

spdlog::level::level_enum to_spdlog(level severity)
{
    switch (severity)
    {
    case level::debug:
        return spdlog::level::debug;
    case level::info:
        return spdlog::level::info;
    case level::warning:
        return spdlog::level::warn;
    case level::error:
        return spdlog::level::err;
    }
    return spdlog::level::err;
}

// Returns the time in ISO 8601. The part down to the second is formatted once a
// second, since a node writes several lines for each request.
std::string current_time()
{
    using namespace std::chrono;
    auto const now = system_clock::now();
    auto const second = floor<seconds>(now);
    static system_clock::time_point formatted_second{};
    static std::string date_and_time;
    if (second != formatted_second || date_and_time.empty())
    {
        formatted_second = second;
        date_and_time = fmt::format("{:%FT%T}", second);
    }
    auto const fraction = duration_cast<microseconds>(now - second).count();
    return fmt::format("{}.{:06}Z", date_and_time, fraction);
}

} // namespace

result<void> start(options const& requested)
{
    auto& current = process_log();
    try
    {
        spdlog::sink_ptr sink;
        if (requested.file.empty())
        {
            current.stream_sink = std::make_shared<bounded_sink>(
                requested.uses_stdout ? STDOUT_FILENO : STDERR_FILENO);
            sink = current.stream_sink;
        }
        else
        {
            sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(
                requested.file);
        }
        current.logger =
            std::make_shared<spdlog::logger>("plantaintally", sink);
    }
    catch (spdlog::spdlog_ex const& cause)
    {
        return fail(errc::io_failure, cause.what());
    }
    current.active_options = requested;
    current.logger->set_pattern("%v");
    current.logger->set_level(to_spdlog(requested.min_level));
    current.logger->flush_on(spdlog::level::warn);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void set_level(level min_level)
{
    auto& current = process_log();
    current.active_options.min_level = min_level;
    if (current.logger != nullptr)
    {
        current.logger->set_level(to_spdlog(min_level));
    }
}

void flush()
{
    auto const& current = process_log();
    if (current.logger != nullptr)
    {
        current.logger->flush();
    }
}

std::uint64_t dropped_count()
{
    auto const& current = process_log();
    return current.stream_sink == nullptr
               ? 0
               : current.stream_sink->dropped_count();
}

bool is_enabled(level severity)
{
    auto const& current = process_log();
    return current.logger != nullptr &&
           severity >= current.active_options.min_level;
}

void write(record const& line)
{
    if (!is_enabled(line.severity))
    {
        return;
    }
    auto const& current = process_log();
    current.logger->log(to_spdlog(line.severity),
                        format_record(line,
                                      current.active_options.line_format,
                                      current.active_options.node,
                                      current_time()));
}

void write_entry(timeline_entry const& entry)
{
    auto const severity = entry.trace_id.empty() ? level::info : level::debug;
    if (!is_enabled(severity))
    {
        return;
    }
    auto const& current = process_log();
    if (current.active_options.line_format == format::plain)
    {
        current.logger->log(
            to_spdlog(severity),
            format_entry(
                entry, severity, current.active_options.node, current_time()));
        return;
    }
    fields details{{"at",
                    std::to_string(entry.at.wall_us) + "." +
                        std::to_string(entry.at.counter)}};
    if (!entry.trace_id.empty())
    {
        details.emplace_back("trace_id", entry.trace_id);
    }
    for (auto& field : split_detail(entry.detail))
    {
        details.push_back(std::move(field));
    }
    write({severity, entry.subject, entry.kind, std::move(details)});
}

} // namespace plantaintally::logging
