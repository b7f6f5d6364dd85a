// Asks the homes of earlier epochs what they know of a key.
#pragma once

#include "once/once.hpp"

namespace plantaintally::once
{

// A refusal of a key whose history can't be known now.
claim_decision refuse_unknown(refusal reason);

// Model step ask_home: asks the home of every epoch before `home_since`. Gives
// run_now if all of them are known here never to have seen the key,
// decide_later if one has to be asked, and a refusal if one can't answer.
claim_decision ask_homes(state& once,
                         cell_state const& cell,
                         claim_request const& request,
                         std::uint64_t home_since,
                         step& current);

// Model step answer_question, at the home of an earlier epoch.
key_answer
answer_question(state& once, key_question const& asked, step& current);

// Model step note_answer, at the new home.
void note_answer(state& once,
                 node_id const& sender,
                 key_answer const& answer,
                 step& current);

// When the earliest unanswered question is given up.
std::optional<instant> next_question_deadline(state const& once);

} // namespace plantaintally::once
