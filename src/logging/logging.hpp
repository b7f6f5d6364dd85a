// The log of the process: one line per event, as plain text or JSON, written
// through spdlog.
#pragma once

#include "base/result.hpp"
#include "timeline/timeline_entry.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantaintally::logging
{

enum class format
{
    plain,
    json
};

enum class level
{
    debug,
    info,
    warning,
    error
};

struct options
{
    format line_format = format::plain;
    // Records below this level are not written.
    level min_level = level::info;
    // Path of the log file, which is appended to; empty: log to a standard
    // stream.
    std::string file;
    // The standard stream if there is no file: stdout if true, else stderr.
    bool uses_stdout = false;
    // Identifies this process in every line: the peer address of the node.
    std::string node;
};

// Pairs of a name and a value.
using fields = std::vector<std::pair<std::string, std::string>>;

// One line of the log.
struct record
{
    level severity = level::info;
    // The module that writes the record: "drivers", "admission", ...
    std::string_view subject;
    // Type of the event, in kebab case.
    std::string_view kind;
    fields details;
};

// Opens the log. Fails if the file can't be opened. Until this succeeds,
// nothing is written.
result<void> start(options const& requested);

// Changes the level below which records are not written.
void set_level(level min_level);

// Writes the buffered lines; never blocks on a stream. To be called regularly:
// lines below level warning are written in batches.
void flush();

// Number of lines dropped since the start because the reader of the stream was
// too slow; zero for a file.
std::uint64_t dropped_count();

// True if records of this severity are written.
bool is_enabled(level severity);

void write(record const& line);

// Writes a time-line entry, at level debug if it belongs to a request and at
// level info if it concerns the node itself.
void write_entry(timeline_entry const& entry);

// Formats a record as one line, without the line break. `time` is in ISO 8601;
// `node` identifies the process.
std::string format_record(record const& line,
                          format line_format,
                          std::string_view node,
                          std::string_view time);

// Formats a time-line entry as one plain line, without the line break: the same
// line as `format_record` with the fields of the entry, but without splitting
// its detail.
std::string format_entry(timeline_entry const& entry,
                         level severity,
                         std::string_view node,
                         std::string_view time);

// Splits a text of the form "name=value name=value" into fields. A word without
// "=" becomes the value of a field named "note".
fields split_detail(std::string_view detail);

} // namespace plantaintally::logging
