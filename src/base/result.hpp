// The result type of functions that can fail.
#pragma once

#include <boost/outcome/result.hpp>

#include <string>

namespace plantaintally
{

// Error codes, for decisions in code.
enum class errc
{
    invalid_input,
    not_found,
    conflict,
    unavailable,
    too_large,
    timeout,
    io_failure
};

// An error: its code and a one-line message for people.
struct error
{
    errc code = errc::invalid_input;
    std::string message;
};

// A value or an error. Reading the value of a failed result is a
// programming error.
template <class T>
using result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// Builds a failed result: `return fail(errc::conflict, "...")`.
inline auto fail(errc code, std::string message)
{
    return BOOST_OUTCOME_V2_NAMESPACE::failure(error{code, std::move(message)});
}

} // namespace plantaintally
