// Threads that keep processor cores busy, for tests of races beside load.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace plantaintally::drivers
{

class busy_threads
{
public:
    explicit busy_threads(std::size_t count)
    {
        for (std::size_t started = 0; started < count; ++started)
        {
            this->threads.emplace_back(
                [this]
                {
                    while (!this->is_stopping)
                    {
                    }
                });
        }
    }

    ~busy_threads()
    {
        this->is_stopping = true;
        for (auto& each : this->threads)
        {
            each.join();
        }
    }

    busy_threads(busy_threads const&) = delete;
    busy_threads& operator=(busy_threads const&) = delete;

    static std::size_t one_per_core()
    {
        return std::max(1U, std::thread::hardware_concurrency());
    }

private:
    std::atomic<bool> is_stopping = false;
    std::vector<std::thread> threads;
};

} // namespace plantaintally::drivers
