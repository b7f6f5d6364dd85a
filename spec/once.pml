/*
 * A key takes effect at most once, also while its home changes.
 *
 * The model follows one key over three epochs. Epoch 1 is agreed from the
 * start. Racing proposers write epochs 2 and 3, in which the key's home stays
 * the same, moves, or moves back. Three vouchers represent any odd number.
 *
 * Each step may happen at any moment or never, which covers slow and
 * partitioned processes, lost messages and crashes: a crashed home takes no
 * further step, and a restarted home is a different process. Accepting the key
 * and dispatching it are separate steps, so a paused home may dispatch late.
 *
 * A write to the store is a compare-and-set: the first proposer succeeds, and
 * a later write changes nothing, so it is not modelled. It makes no difference
 * whether the writer gets the reply: it learns of the epoch by reading, like
 * every other process.
 *
 * A vouch lasts for LIFETIME ticks after it was given. The implementation
 * counts from the time of the request, which is earlier.
 *
 * Mutations that must yield a counterexample: NO_WAIT, NO_VOUCH, NO_RECORD,
 * NO_KEY_AGE, NO_INCARNATION, NO_FENCE, NO_STOP, NO_STAY. REACH_YOUNG,
 * REACH_ASKED, REACH_BACK and REACH_SOON assert that no key is accepted after a
 * change of epoch; all four assertions must fail.
 */
#ifndef LIFETIME
#define LIFETIME 2
#endif

#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifdef NO_WAIT
#define WAIT 0
#else
#define WAIT LIFETIME
#endif

#define HAS(mask, v) ((mask >> v) & 1)

#ifdef NO_INCARNATION
#define IS_LISTED_INCARNATION(e, v) true
#else
#define IS_LISTED_INCARNATION(e, v)                                            \
    (HAS(listed_incarnations[e], v) == HAS(incarnation, v))
#endif

/* The voucher at position i of epoch e. With SHIFTED, the vouchers of epoch 1
 * differ by one from those of the later epochs. */
#ifdef SHIFTED
#define VOUCHERS 4
#define VOUCHER(e, i) ((e == 1) -> i : i + 1)
#else
#define VOUCHERS 3
#define VOUCHER(e, i) i
#endif

/* The store's value: the newest epoch and, for each epoch, the key's home, a
 * bit mask of the vouchers' incarnations, and the lowest epoch that the same
 * document lists. */
byte stored_epoch = 1;
byte home_of[4];
byte listed_incarnations[4];
byte lowest_listed[4];

/* Vouchers: the epoch promised, below which the voucher vouches for none; a bit
 * mask with the voucher that has restarted; and the remaining ticks of each
 * vouch, indexed by epoch * 3 + position. */
byte promised[VOUCHERS];
byte incarnation;
byte vouch_ticks[12];

/* Homes: the newest epoch known and the record of the key. */
#define UNSEEN 0
#define ACCEPTED 1
#define DISPATCHED 2
byte known_epoch[3];
byte recorded[3];

/* For epoch y: zero until a majority of its vouchers is known to have advanced
 * to a later epoch; then the remaining ticks until y is fenced, plus one. A
 * home that notices this later opens its own epoch later; the model covers that
 * as a later OPEN_EPOCH step. */
byte fence_ticks[3];
/* At s * 3 + y: the home of epoch y has answered the home of epoch s that it
 * has never seen the key. */
bool is_unseen[12];
bool is_open[4];

/* Whether the key has been created, and for each epoch whether that was after
 * the epoch opened. */
bool is_created;
bool created_after_open[4];
bool has_effect;

hidden byte s, z, i, at_s;
hidden byte ok;

/* Sets s to the first epoch of the unbroken series up to `from` in which h is
 * the key's home. */
inline find_history_start(from, h)
{
    s = from;
    do
    :: s > 1 && home_of[s - 1] == h -> s--
    :: else -> break
    od
}

inline tick()
{
    i = 0;
    do
    :: i < 12 ->
        if
        :: vouch_ticks[i] > 0 -> vouch_ticks[i]--
        :: else
        fi;
        if
        :: i < 3 ->
            if
            :: fence_ticks[i] > 1 -> fence_ticks[i]--
            :: else
            fi
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

/* Whether h is the key's home from epoch e up to the newest one it knows. */
#ifdef NO_STAY
#define IS_HOME_SINCE(h, e) (home_of[known_epoch[h]] == h && home_of[e] == h)
#define IS_USEFUL(e) true
#else
/* Vouches that their home can never use again are dropped, which reduces the
 * number of states. */
#define IS_USEFUL(e) IS_HOME_SINCE(home_of[e], e)
#define IS_HOME_SINCE(h, e)                                                    \
    (home_of[e] == h && home_of[known_epoch[h]] == h &&                        \
     (e + 1 >= known_epoch[h] || home_of[e + 1] == h))
#endif

inline drop_vouches(h)
{
    i = 1;
    do
    :: i <= EPOCHS ->
        if
        :: home_of[i] == h && !IS_USEFUL(i) ->
            vouch_ticks[i * 3] = 0;
            vouch_ticks[i * 3 + 1] = 0;
            vouch_ticks[i * 3 + 2] = 0
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

inline propose(h)
{
    stored_epoch++;
    home_of[stored_epoch] = h;
    listed_incarnations[stored_epoch] = incarnation;
    lowest_listed[stored_epoch] = lowest_listed[stored_epoch - 1]
}

/* Proposes an epoch and retires epoch 1, whose successor is open. */
inline propose_and_retire(h)
{
    propose(h);
    lowest_listed[stored_epoch] = 2
}

/* The home of epoch e answers the home of epoch q whether it has never seen the
 * key. For the lowest listed epoch the answer must cover all earlier epochs,
 * too. */
inline answer_question(q, e)
{
    find_history_start(e, home_of[e]);
    ok = recorded[home_of[e]] == UNSEEN &&
         (e != lowest_listed[known_epoch[home_of[q]]] || s == 1 ||
          (is_open[s] && created_after_open[s]));
    is_unseen[q * 3 + e] = ok
}

/* Sets `ok` if h, which accepts keys in epoch e, knows that the key is new:
 * either the key was created after epoch s opened, where h's unbroken series as
 * home begins, or the homes of all earlier epochs have answered that they have
 * never seen it. */
inline check_history(h, e)
{
    find_history_start(e, h);
    ok = s == 1 || (is_open[s] && created_after_open[s]);
#ifdef NO_KEY_AGE
    ok = s == 1 || is_open[s];
#endif
    if
    :: !ok && lowest_listed[known_epoch[h]] < s ->
        ok = true;
        z = lowest_listed[known_epoch[h]];
        do
        :: z < s -> ok = ok && is_unseen[s * 3 + z]; z++
        :: else -> break
        od
    :: else
    fi
}

inline accept_key(h, e)
{
    check_history(h, e);
    if
    :: ok ->
        recorded[h] = ACCEPTED;
#ifdef REACH_YOUNG
        assert(!(s > 1 && created_after_open[s]));
#endif
#ifdef REACH_ASKED
        assert(!(s > 1 && !created_after_open[s]));
#endif
#ifdef REACH_SOON
        assert(!(s > 1 && !is_open[s]));
#endif
#ifdef REACH_BACK
        assert(!(s == 3 && home_of[1] == h));
#endif
    :: else
    fi
}

inline dispatch(h)
{
    assert(!has_effect);
    has_effect = true;
#ifdef NO_RECORD
    recorded[h] = UNSEEN
#else
    recorded[h] = DISPATCHED
#endif
}

#ifdef NO_VOUCH
#define IS_VOUCHED(e) true
#else
#define IS_VOUCHED(e)                                                          \
    ((vouch_ticks[e * 3] > 0) + (vouch_ticks[e * 3 + 1] > 0) +                 \
         (vouch_ticks[e * 3 + 2] > 0) >= 2)
#endif

#ifdef NO_FENCE
#define MAY_RETIRE true
#else
#define MAY_RETIRE is_open[2]
#endif
#define PROPOSE(h)                                                             \
    ::d_step { stored_epoch == 1 && h < 2 -> propose(h) }                      \
    ::d_step { stored_epoch == 2 && EPOCHS == 3 -> propose(h) }                \
    ::d_step { stored_epoch == 2 && EPOCHS == 3 && MAY_RETIRE ->               \
        propose_and_retire(h) }
#define LEARN_EPOCH(h)                                                         \
    ::d_step { known_epoch[h] < stored_epoch ->                                \
        known_epoch[h] = stored_epoch;                                         \
        drop_vouches(h) }
#define GIVE_VOUCH(e, v)                                                       \
    ::d_step {                                                                 \
        e <= stored_epoch && known_epoch[home_of[e]] >= e &&                   \
            promised[VOUCHER(e, v)] <= e &&                                    \
            IS_LISTED_INCARNATION(e, v) &&                                     \
            (promised[VOUCHER(e, v)] < e ||                                    \
             (IS_USEFUL(e) && vouch_ticks[e * 3 + v] < LIFETIME)) ->           \
        promised[VOUCHER(e, v)] = e;                                           \
        vouch_ticks[e * 3 + v] = (IS_USEFUL(e) -> LIFETIME : 0) }
#define HAS_ADVANCED(y, v)                                                     \
    (promised[VOUCHER(y, v)] > y || !IS_LISTED_INCARNATION(y, v))
#define NOTE_ADVANCED(y)                                                       \
    ::d_step {                                                                 \
        stored_epoch > y && fence_ticks[y] == 0 &&                             \
            HAS_ADVANCED(y, 0) + HAS_ADVANCED(y, 1) + HAS_ADVANCED(y, 2) >=    \
                2 ->                                                           \
        fence_ticks[y] = WAIT + 1 }
#define OPEN_EPOCH(q)                                                          \
    ::d_step {                                                                 \
        q <= stored_epoch && !is_open[q] && known_epoch[home_of[q]] >= q &&    \
            (lowest_listed[q] > 1 || fence_ticks[1] == 1) &&                   \
            (q == 2 || fence_ticks[2] == 1) ->                                 \
        is_open[q] = true }
/* The home of e knows epoch q and therefore no longer accepts the key in any
 * epoch up to q. */
#ifdef NO_STOP
#define HAS_STOPPED(q, e) true
#else
#define HAS_STOPPED(q, e) (known_epoch[home_of[e]] >= q)
#endif
#define ANSWER_QUESTION(q, e)                                                  \
    ::d_step {                                                                 \
        is_created && q <= known_epoch[home_of[q]] &&                          \
            known_epoch[home_of[e]] >= e &&                                    \
            (is_open[q] || HAS_STOPPED(q, e)) &&                               \
            e >= lowest_listed[known_epoch[home_of[q]]] &&                     \
            !is_unseen[q * 3 + e] ->                                           \
        answer_question(q, e) }
#define CLAIM_KEY(h, e)                                                        \
    ::d_step {                                                                 \
        is_created && recorded[h] == UNSEEN && e <= known_epoch[h] &&          \
            IS_HOME_SINCE(h, e) && IS_VOUCHED(e) ->                            \
        accept_key(h, e) }
#define DISPATCH(h)                                                            \
    ::d_step { recorded[h] == ACCEPTED -> dispatch(h) }
#define FINISH_NOT_RUN(h)                                                      \
    ::d_step { recorded[h] == ACCEPTED -> recorded[h] = UNSEEN }
/* One voucher restarts as a new incarnation without memory. Vouchers are
 * interchangeable, so it doesn't matter which one. */
#define RESTART(v)                                                             \
    ::d_step { incarnation == 0 -> incarnation = 1 << v; promised[v] = 0 }

#define FOR_EACH_HOME(STEP) STEP(0) STEP(1) STEP(2)
#define FOR_EACH_VOUCHER(STEP, a) STEP(a, 0) STEP(a, 1) STEP(a, 2)
#define CLAIM_IN_EACH_EPOCH(h) CLAIM_KEY(h, 1) CLAIM_KEY(h, 2) CLAIM_KEY(h, 3)

init
{
    d_step {
        home_of[1] = 0;
        lowest_listed[1] = 1;
        known_epoch[0] = 1;
        known_epoch[1] = 1;
        known_epoch[2] = 1;
        is_open[1] = true
    }
    do
    ::d_step { true -> tick() }
    ::d_step {
        !is_created -> is_created = true;
        created_after_open[2] = is_open[2];
        created_after_open[3] = is_open[3] }
    FOR_EACH_HOME(PROPOSE)
    FOR_EACH_HOME(LEARN_EPOCH)
    FOR_EACH_VOUCHER(GIVE_VOUCH, 1)
    FOR_EACH_VOUCHER(GIVE_VOUCH, 2)
    FOR_EACH_VOUCHER(GIVE_VOUCH, 3)
    NOTE_ADVANCED(1)
    NOTE_ADVANCED(2)
    OPEN_EPOCH(2)
    OPEN_EPOCH(3)
    ANSWER_QUESTION(2, 1)
    ANSWER_QUESTION(3, 1)
    ANSWER_QUESTION(3, 2)
    FOR_EACH_HOME(CLAIM_IN_EACH_EPOCH)
    FOR_EACH_HOME(DISPATCH)
    FOR_EACH_HOME(FINISH_NOT_RUN)
#ifndef SHIFTED
    RESTART(0)
#endif
    od
}
