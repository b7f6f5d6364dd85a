#include "operator_tool/command_reply.hpp"

namespace plantaintally::operator_tool
{

exit_code exit_code_of(std::string_view status)
{
    if (status == "ok")
    {
        return exit_code::ok;
    }
    if (status == "refused")
    {
        return exit_code::refused;
    }
    if (status == "invalid")
    {
        return exit_code::invalid;
    }
    if (status == "conflict")
    {
        return exit_code::conflict;
    }
    if (status == "partial")
    {
        return exit_code::partial;
    }
    return exit_code::unknown;
}

} // namespace plantaintally::operator_tool
