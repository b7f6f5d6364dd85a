// Asks the homes of earlier epochs whether they have seen a key.
#pragma once

#include "once/once.hpp"

namespace plantaintally::once
{

// Refuses a key with the verdict may-have-run, because its history or home
// can't be established now; the caller may retry after the returned delay.
claim_decision refuse_may_have_run(refusal reason);

// Asks the home of every epoch before `home_since_epoch` about the key. Returns
// run_now if this node already knows that none of them has seen the key,
// decide_later if at least one has to be asked, and a refusal if one can't
// answer.
claim_decision ask_earlier_homes(state& once,
                                 cell_state const& cell,
                                 claim_request const& request,
                                 std::uint64_t home_since_epoch,
                                 step& current);

// Answers a question at the home of an earlier epoch. Step ANSWER_QUESTION of
// spec/once.pml.
key_answer
answer_question(state& once, key_question const& question, step& current);

// Handles the answer at the new home.
void note_answer(state& once,
                 node_id const& sender,
                 key_answer const& answer,
                 step& current);

// When the first of the pending keys has to be decided.
std::optional<instant> next_question_deadline(state const& once);

} // namespace plantaintally::once
