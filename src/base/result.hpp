// Result type of functions that can fail for a reason worth telling.
#pragma once

#include <boost/outcome/result.hpp>

#include <string>

namespace plantaintally
{

// The kind of a failure, for programs.
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

// A failure: its kind, and one clear line for a person.
struct error
{
    errc code = errc::invalid_input;
    std::string message;
};

// A value, or the reason why there is none. Reading the value of a failed
// result is a programming error.
template <class T>
using result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// Builds a failed result: `return fail(errc::conflict, "...")`.
inline auto fail(errc code, std::string message)
{
    return BOOST_OUTCOME_V2_NAMESPACE::failure(error{code, std::move(message)});
}

} // namespace plantaintally
