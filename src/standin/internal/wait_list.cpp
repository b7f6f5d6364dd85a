#include "standin/internal/wait_list.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantaintally::standin
{

namespace asio = boost::asio;

wait_list::registration::registration(wait_list& owner,
                                      asio::steady_timer& timer)
    : list(owner), id(++owner.last_id)
{
    this->list.waiters.emplace(this->id, &timer);
}

wait_list::registration::~registration()
{
    this->list.waiters.erase(this->id);
}

asio::awaitable<void> wait_list::wait(std::chrono::microseconds limit)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, limit);
    registration const registered(*this, timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

void wait_list::notify_one()
{
    if (!this->waiters.empty())
    {
        this->waiters.begin()->second->cancel();
    }
}

void wait_list::notify_all()
{
    for (auto const& [id, timer] : this->waiters)
    {
        timer->cancel();
    }
}

} // namespace plantaintally::standin
