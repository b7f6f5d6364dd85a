#include "logging/internal/bounded_sink.hpp"

#include <catch2/catch.hpp>
#include <spdlog/logger.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>

using namespace plantaintally;

namespace
{

// A pipe with a sink that writes to it.
struct log_pipe
{
    std::array<int, 2> ends{};
    std::shared_ptr<logging::bounded_sink> sink;
    spdlog::logger logger;

    log_pipe() : sink(open_sink()), logger("test", this->sink)
    {
        this->logger.set_pattern("%v");
    }

    ~log_pipe()
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }

    std::shared_ptr<logging::bounded_sink> open_sink()
    {
        REQUIRE(pipe(this->ends.data()) == 0);
        fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        return std::make_shared<logging::bounded_sink>(this->ends[1]);
    }

    std::string read_all() const
    {
        std::string text;
        std::array<char, 4096> chunk{};
        while (true)
        {
            auto const count = read(this->ends[0], chunk.data(), chunk.size());
            if (count <= 0)
            {
                return text;
            }
            text.append(chunk.data(), static_cast<std::size_t>(count));
        }
    }
};

} // namespace

TEST_CASE("lines are written in order when the log is flushed")
{
    log_pipe pipe;
    pipe.logger.info("first");
    pipe.logger.info("second");
    CHECK(pipe.read_all().empty());
    pipe.logger.flush();
    CHECK(pipe.read_all() == "first\nsecond\n");
}

TEST_CASE(
    "lines are dropped and counted, without blocking, while the reader is "
    "stalled")
{
    log_pipe pipe;
    std::string const line(1000, 'x');
    // Far more than the pipe and the buffer hold; a blocking sink would hang
    // here.
    for (int count = 0; count < 5000; ++count)
    {
        pipe.logger.info(line);
    }
    CHECK(pipe.sink->dropped_count() > 3000);
    CHECK(pipe.sink->dropped_count() < 5000);
    CHECK_FALSE(pipe.read_all().empty());
    pipe.logger.flush();
    CHECK_FALSE(pipe.read_all().empty());
}
