// The operator tool: sends statements of the query language to a node.

#include "operator_tool/session.hpp"
#include "query/language.hpp"

#include <gflags/gflags.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>

DEFINE_string(node,
              "127.0.0.1:7300",
              "host:port of the local listener of any node");
DEFINE_string(
    output,
    "table",
    "output format: table, json, or trace (a time line in the Trace Event "
    "JSON format)");
DEFINE_string(file, "", "execute the statements of this file, one per line");
DEFINE_uint32(timeout_ms, 10000, "timeout of a reply, in milliseconds");
DEFINE_uint32(force_ms,
              6000,
              "how long to wait until an accepted change is in force on every "
              "node, in milliseconds; 0: don't wait");

namespace
{

using namespace plantaintally;

std::optional<operator_tool::output_format>
parse_format(std::string const& name)
{
    if (name == "table")
    {
        return operator_tool::output_format::table;
    }
    if (name == "json")
    {
        return operator_tool::output_format::json;
    }
    if (name == "trace")
    {
        return operator_tool::output_format::trace;
    }
    return std::nullopt;
}

std::string join_words(int count, char** words)
{
    std::string text;
    for (int i = 1; i < count; ++i)
    {
        text += (i == 1 ? "" : " ") + std::string(words[i]);
    }
    return text;
}

operator_tool::exit_code run_file(operator_tool::session_options const& options)
{
    std::ifstream script(FLAGS_file);
    if (!script)
    {
        std::cerr << FLAGS_file << ": the file can't be read\n";
        return operator_tool::exit_code::invalid;
    }
    return operator_tool::run_script(options, script, std::cout, std::cerr);
}

operator_tool::exit_code run(int count, char** words)
{
    auto const format = parse_format(FLAGS_output);
    if (!format)
    {
        std::cerr << "--output: '" << FLAGS_output
                  << "' is not one of table, json, trace\n";
        return operator_tool::exit_code::invalid;
    }
    operator_tool::session_options options;
    options.node_address = FLAGS_node;
    options.format = *format;
    options.reply_timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    options.in_force_timeout = std::chrono::milliseconds(FLAGS_force_ms);
    if (!FLAGS_file.empty())
    {
        return run_file(options);
    }
    if (count > 1)
    {
        return operator_tool::run_command(
            options, join_words(count, words), std::cout, std::cerr);
    }
    if (isatty(STDIN_FILENO) == 0)
    {
        return operator_tool::run_script(
            options, std::cin, std::cout, std::cerr);
    }
    return operator_tool::run_prompt(options, std::cout, std::cerr);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetVersionString(PLANTAINTALLY_VERSION);
    gflags::SetUsageMessage(
        "sends statements to a node, from the arguments, a file, standard "
        "input or a prompt.\n\n" +
        std::string(query::language_summary()) +
        "\nExit codes: 0 ok, 1 refused, 2 invalid, 3 conflict, 4 unknown, 5 "
        "unreachable, 6 some nodes silent.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return static_cast<int>(run(argc, argv));
}
