#include "logging/internal/bounded_sink.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace plantaintally::logging
{

namespace
{

// Amount of buffered text at which the buffer is written.
constexpr std::size_t batch_bytes = 16U << 10U;
// Size limit of the buffer; small compared to the memory of a node.
constexpr std::size_t max_buffered_bytes = 1U << 20U;

// True if at least PIPE_BUF bytes can be written without blocking.
bool is_writable(int descriptor)
{
    pollfd query{descriptor, POLLOUT, 0};
    return poll(&query, 1, 0) == 1 && (query.revents & POLLOUT) != 0;
}

} // namespace

bounded_sink::bounded_sink(int descriptor) : stream_descriptor(descriptor) {}

std::uint64_t bounded_sink::dropped_count()
{
    std::lock_guard const lock(this->mutex_);
    return this->dropped;
}

void bounded_sink::sink_it_(spdlog::details::log_msg const& line)
{
    if (this->buffer.size() + line.payload.size() > max_buffered_bytes)
    {
        ++this->dropped;
        return;
    }
    this->buffer.append(line.payload.data(), line.payload.size());
    this->buffer += '\n';
    if (this->buffer.size() >= batch_bytes)
    {
        this->flush_();
    }
}

void bounded_sink::flush_()
{
    std::size_t written = 0;
    while (written < this->buffer.size() &&
           is_writable(this->stream_descriptor))
    {
        // POSIX: a writable pipe accepts up to PIPE_BUF bytes at once, so
        // write does not block.
        std::size_t const chunk_bytes =
            std::min<std::size_t>(this->buffer.size() - written, PIPE_BUF);
        auto const count = ::write(this->stream_descriptor,
                                   this->buffer.data() + written,
                                   chunk_bytes);
        if (count <= 0)
        {
            // The reader is slow or has closed the stream: the lines stay in
            // the buffer. Once it is full, further lines are dropped.
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    this->buffer.erase(0, written);
}

} // namespace plantaintally::logging
