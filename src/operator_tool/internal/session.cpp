#include "operator_tool/session.hpp"

#include "operator_tool/client.hpp"
#include "query/language.hpp"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <cstdio>
#include <istream>
#include <ostream>
#include <thread>

// readline's headers use FILE without declaring it, so <cstdio> comes first.
#include <readline/history.h>
#include <readline/readline.h>

namespace plantaintally::operator_tool
{

namespace
{

constexpr duration in_force_poll_interval = std::chrono::milliseconds(200);
constexpr std::string_view prompt_text = "plantaintally> ";
constexpr int max_history_lines = 1000;

std::string with_change_id(std::string_view text)
{
    bool const has_id = text.find(" with id ") != std::string_view::npos;
    if (has_id || !query::is_change(text))
    {
        return std::string(text);
    }
    std::size_t const end = text.find_last_not_of(" \t\r\n;");
    std::string const id =
        boost::uuids::to_string(boost::uuids::random_generator()());
    return std::string(text.substr(0, end + 1)) + " with id " + id;
}

exit_code report_failure(error const& failure,
                         std::string_view text,
                         std::ostream& errors)
{
    bool const is_outcome_unknown =
        failure.code == errc::timeout || failure.code == errc::io_failure;
    if (is_outcome_unknown && query::is_change(text))
    {
        errors << "unknown: " << failure.message
               << "; the change may have been made; to retry, send it again "
                  "unchanged: "
               << text << "\n";
        return exit_code::unknown;
    }
    errors << failure.message << "\n";
    return failure.code == errc::invalid_input ? exit_code::invalid
                                               : exit_code::unreachable;
}

// True for a reply to "show configuration" that has one revision in force on
// all nodes: the table has one row per revision, and the status is "ok" only if
// every node answered.
bool is_in_force_everywhere(command_reply const& reply)
{
    return reply.status == "ok" && reply.table.rows.size() == 1;
}

// Waits until one revision is in force on every node, at most in_force_timeout,
// then prints the last message, which counts the nodes.
void wait_until_in_force(session_options const& options, std::ostream& out)
{
    auto const start_time = std::chrono::steady_clock::now();
    command_reply last_reply;
    while (std::chrono::steady_clock::now() - start_time <
           options.in_force_timeout)
    {
        auto const reply = send_command(
            options.node_address, "show configuration", options.reply_timeout);
        if (reply.has_value())
        {
            last_reply = reply.value();
            if (is_in_force_everywhere(last_reply))
            {
                break;
            }
        }
        std::this_thread::sleep_for(in_force_poll_interval);
    }
    out << last_reply.message << "\n";
}

bool is_quit(std::string_view line)
{
    return line == "quit" || line == "exit";
}

bool is_blank_or_comment(std::string_view line)
{
    std::size_t const start = line.find_first_not_of(" \t\r");
    return start == std::string_view::npos || line[start] == '#';
}

} // namespace

exit_code run_command(session_options const& options,
                      std::string_view text,
                      std::ostream& out,
                      std::ostream& errors)
{
    auto const parsed = query::parse_statement(text);
    if (parsed.has_error())
    {
        errors << parsed.error().message << "\n";
        return exit_code::invalid;
    }
    std::string const command = with_change_id(text);
    auto const reply =
        send_command(options.node_address, command, options.reply_timeout);
    if (reply.has_error())
    {
        return report_failure(reply.error(), command, errors);
    }
    out << render(reply.value(), options.format);
    exit_code const code = exit_code_of(reply.value().status);
    bool const is_accepted = code == exit_code::ok && query::is_change(text);
    if (is_accepted && options.in_force_timeout.count() > 0 &&
        options.format == output_format::table)
    {
        wait_until_in_force(options, out);
    }
    return code;
}

exit_code run_script(session_options const& options,
                     std::istream& script,
                     std::ostream& out,
                     std::ostream& errors)
{
    std::string line;
    for (int number = 1; std::getline(script, line); ++number)
    {
        if (is_blank_or_comment(line))
        {
            continue;
        }
        exit_code const code = run_command(options, line, out, errors);
        if (code != exit_code::ok)
        {
            errors << "line " << number
                   << ": command failed; the remaining lines were not run\n";
            return code;
        }
    }
    return exit_code::ok;
}

exit_code run_prompt(session_options const& options,
                     std::ostream& out,
                     std::ostream& errors)
{
    using_history();
    stifle_history(max_history_lines);
    exit_code last_code = exit_code::ok;
    while (char* const typed = readline(prompt_text.data()))
    {
        std::string const line(typed);
        // readline returns memory allocated with malloc.
        std::free(typed);
        if (is_quit(line))
        {
            break;
        }
        if (is_blank_or_comment(line))
        {
            continue;
        }
        add_history(line.c_str());
        last_code = run_command(options, line, out, errors);
        out.flush();
    }
    return last_code;
}

} // namespace plantaintally::operator_tool
