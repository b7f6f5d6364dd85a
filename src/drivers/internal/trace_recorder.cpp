#include "drivers/internal/trace_recorder.hpp"

#include "codec/trace_codec.hpp"

namespace plantaintally::drivers
{

result<void> trace_recorder::open(std::string const& file_name)
{
    if (file_name.empty())
    {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    this->file.open(file_name, std::ios::binary | std::ios::trunc);
    if (!this->file)
    {
        return fail(errc::io_failure,
                    "trace file " + file_name + " can't be opened");
    }
    this->is_enabled = true;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void trace_recorder::record(moment const& at, event const& happened)
{
    if (this->is_enabled)
    {
        this->file << codec::encode_event({at, happened}) << '\n';
    }
}

void trace_recorder::flush()
{
    if (this->is_enabled)
    {
        this->file.flush();
    }
}

} // namespace plantaintally::drivers
