#include "drivers/internal/event_kind.hpp"

namespace plantaintally::drivers
{

namespace
{

struct event_name_visitor
{
    std::string_view operator()(request_arrived const&) const
    {
        return "request-arrived";
    }
    std::string_view operator()(caller_gone const&) const
    {
        return "caller-gone";
    }
    std::string_view operator()(attempt_answered const&) const
    {
        return "attempt-answered";
    }
    std::string_view operator()(attempt_failed const&) const
    {
        return "attempt-failed";
    }
    std::string_view operator()(upstream_announced const&) const
    {
        return "upstream-announced";
    }
    std::string_view operator()(upstream_drain_requested const&) const
    {
        return "upstream-drain-requested";
    }
    std::string_view operator()(upstream_gone const&) const
    {
        return "upstream-gone";
    }
    std::string_view operator()(upstream_reported const&) const
    {
        return "upstream-reported";
    }
    std::string_view operator()(health_hint const&) const
    {
        return "health-hint";
    }
    std::string_view operator()(upstream_checked const&) const
    {
        return "upstream-checked";
    }
    std::string_view operator()(control_received const&) const
    {
        return "control-received";
    }
    std::string_view operator()(store_replied const&) const
    {
        return "store-replied";
    }
    std::string_view operator()(operator_command const&) const
    {
        return "operator-command";
    }
    std::string_view operator()(timer_fired const&) const
    {
        return "timer-fired";
    }
    std::string_view operator()(stop_requested const&) const
    {
        return "stop-requested";
    }
};

} // namespace

std::string_view event_kind_name(event const& happened)
{
    return std::visit(event_name_visitor{}, happened);
}

} // namespace plantaintally::drivers
