#include "admission/admission.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>

using namespace plantaintally;
using namespace plantaintally::admission;
using namespace std::chrono_literals;

namespace
{

struct rank
{
    std::string name;
    std::uint32_t urgency;
    bool is_protected;
};

// The protected ranks are deliberately not the most urgent ones.
std::vector<rank> const ranks{{"probe", 50, false},
                              {"confirmation", 40, true},
                              {"browsing", 30, false},
                              {"booking", 20, true},
                              {"export", 10, false}};

// Applies random arrivals, completions and pauses to one upstream and checks
// after each decision that no unprotected request is waiting or admitted within
// the hold time after the refusal of a protected one; see docs/ADMISSION.md.
class admission_checker
{
public:
    admission_checker()
    {
        open(this->upstream, 3, 500ms, this->now);
    }

    void
    arrive(std::size_t rank_index, duration time_left, std::uint32_t caller)
    {
        pending_request request;
        request.exchange = exchange_id{++this->last_id};
        request.rank = ranks[rank_index].name;
        request.urgency = ranks[rank_index].urgency;
        request.worth = static_cast<std::uint32_t>(rank_index + 1);
        request.is_protected = ranks[rank_index].is_protected;
        request.caller = std::to_string(caller);
        request.deadline = this->now + time_left;
        bool const can_meet_deadline =
            time_left >=
            unloaded_service_time(this->upstream.limit, request.rank);
        auto const result = offer(this->upstream, request, this->now);
        this->note_refused(result.shed);
        if (result.kind == offer_kind::refused)
        {
            if (can_meet_deadline)
            {
                this->note_refusal(request.is_protected);
            }
            return;
        }
        this->note_admission(request.is_protected);
        if (result.kind == offer_kind::admitted)
        {
            this->running.push_back(request.rank);
        }
        this->pump();
    }

    void finish_one(sample_kind kind, duration service_time)
    {
        if (this->running.empty())
        {
            return;
        }
        std::string const rank_name = this->running.back();
        this->running.pop_back();
        finish(this->upstream,
               rank_name,
               {kind, service_time, service_time},
               this->now);
        this->pump();
    }

    void wait(duration span)
    {
        this->now += span;
        this->pump();
    }

private:
    void pump()
    {
        this->note_refused(take_expired(this->upstream, this->now));
        while (auto next = take_next(this->upstream, this->now))
        {
            this->note_admission(next->is_protected);
            this->running.push_back(next->rank);
        }
    }

    void note_refused(std::vector<refused_request> const& refused)
    {
        for (refused_request const& each : refused)
        {
            this->note_refusal(each.item.is_protected);
        }
    }

    void note_refusal(bool is_protected)
    {
        if (!is_protected)
        {
            return;
        }
        this->last_protected_refusal = this->now;
        for (auto const& [name, queue] : this->upstream.queues)
        {
            RC_ASSERT(queue.is_protected || queue.size == 0U);
        }
    }

    void note_admission(bool is_protected)
    {
        if (is_protected || !this->last_protected_refusal)
        {
            return;
        }
        duration const since = this->now - *this->last_protected_refusal;
        RC_ASSERT(since >= this->upstream.startup_options.protected_hold);
    }

    state upstream;
    instant now{100s};
    std::uint64_t last_id = 0;
    std::vector<std::string> running;
    std::optional<instant> last_protected_refusal;
};

} // namespace

TEST_CASE("no protected request is refused while unprotected ones are admitted")
{
    bool const holds = rc::check(
        []
        {
            admission_checker run;
            auto const length = *rc::gen::inRange(1, 400);
            for (int index = 0; index < length; ++index)
            {
                switch (*rc::gen::inRange(0, 8))
                {
                case 0:
                    run.wait(
                        std::chrono::milliseconds(*rc::gen::inRange(0, 400)));
                    break;
                case 1:
                    run.finish_one(
                        sample_kind::completed,
                        std::chrono::milliseconds(*rc::gen::inRange(1, 200)));
                    break;
                case 2:
                    run.finish_one(sample_kind::refused, 1ms);
                    break;
                default:
                    run.arrive(
                        static_cast<std::size_t>(*rc::gen::inRange(
                            0, static_cast<int>(ranks.size()))),
                        std::chrono::milliseconds(*rc::gen::inRange(1, 3000)),
                        static_cast<std::uint32_t>(*rc::gen::inRange(0, 4)));
                }
            }
        });
    CHECK(holds);
}
