/*
 * At most one effect of a key while its home changes.
 *
 * One key is followed over three epochs. Epoch 1 is agreed from the start.
 * Epochs 2 and 3 are written by racing proposers, with the key's home staying,
 * moving, or coming back. Three vouchers stand for any odd number.
 *
 * Every step happens at any moment or never. That covers slow and partitioned
 * processes, lost messages, and crashes: a crashed home is one that takes no
 * further step, and a restarted one is another process. Accepting the key and
 * dispatching it are two steps, so a paused home dispatches late.
 *
 * A write is a compare-and-set: whichever proposer is first succeeds, and the
 * other one's write changes nothing, so it is no step. Whether the writer gets
 * its answer makes no difference: it learns of the epoch by reading, as all do.
 *
 * A vouch lasts LIFETIME ticks from when it was given; the implementation
 * counts from when it was asked for, which is earlier.
 *
 * Mutations that must give a counterexample: NO_WAIT, NO_VOUCH, NO_RECORD,
 * NO_KEY_AGE, NO_INCARNATION, NO_FENCE. REACH_YOUNG, REACH_ASKED and
 * REACH_BACK assert that no key is accepted after a change; each must fail.
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
#define IS_LISTED(e, v) true
#else
#define IS_LISTED(e, v) (HAS(listed[e], v) == HAS(incarnation, v))
#endif

/* The voucher at place i of epoch e. With SHIFTED, epoch 1 has another one than
 * the later epochs have. */
#ifdef SHIFTED
#define VOUCHERS 4
#define VOUCHER(e, i) ((e == 1) -> i : i + 1)
#else
#define VOUCHERS 3
#define VOUCHER(e, i) i
#endif

/* The store's value: the newest epoch, and of each epoch the key's home, the
 * vouchers' incarnations as a mask, and the lowest epoch listed with it. */
byte stored = 1;
byte home_of[4];
byte listed[4];
byte lowest[4];

/* Vouchers: the newest epoch known, the one that has restarted as a mask, and
 * the ticks left of each vouch by epoch * 3 + voucher. */
byte newest[VOUCHERS];
byte incarnation;
byte left[12];

/* Processes: the newest epoch known, and the record of the key. */
#define UNSEEN 0
#define ACCEPTED 1
#define DISPATCHED 2
byte known[3];
byte recorded[3];

/* Of epoch y: ticks to wait after a majority was known to have moved beyond
 * it, plus one; zero until then. A home may take notice later than that; then
 * it opens its epoch later, which is a later step here. */
byte waiting[3];
/* The home of epoch y has told that of s, at s * 3 + y: it never saw the key. */
bool clear[12];
bool opened[4];

/* The key is minted; it was minted after the epoch was open. */
bool minted;
bool young[4];
bool has_effect;

hidden byte s, z, i, at_s;
hidden byte ok;

/* The lowest epoch since which h is the key's home without a break. */
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
        :: left[i] > 0 -> left[i]--
        :: else
        fi;
        if
        :: i < 3 ->
            if
            :: waiting[i] > 1 -> waiting[i]--
            :: else
            fi
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

inline propose(h)
{
    stored++;
    home_of[stored] = h;
    listed[stored] = incarnation;
    lowest[stored] = lowest[stored - 1]
}

/* Epochs below an open one may be retired. */
inline propose_and_retire(h)
{
    propose(h);
    lowest[stored] = 2
}

/* The home of epoch z answers the home of epoch q that it has never seen the
 * key. Of the lowest epoch listed it has to know the time before, too. */
inline answer_question(q, e)
{
    find_history_start(e, home_of[e]);
    ok = recorded[home_of[e]] == UNSEEN &&
         (e != lowest[known[home_of[q]]] || s == 1 ||
          (opened[s] && young[s]));
    clear[q * 3 + e] = ok
}

/* Whether h, accepting in epoch e, knows that the key is new. */
inline check_history(h, e)
{
    find_history_start(e, h);
    ok = s == 1 || opened[s];
#ifndef NO_KEY_AGE
    if
    :: ok && s > 1 && !young[s] ->
        ok = lowest[known[h]] < s;
        z = lowest[known[h]];
        do
        :: z < s -> ok = ok && clear[s * 3 + z]; z++
        :: else -> break
        od
    :: else
    fi
#endif
}

inline accept_key(h, e)
{
    check_history(h, e);
    if
    :: ok ->
        recorded[h] = ACCEPTED;
#ifdef REACH_YOUNG
        assert(!(s > 1 && young[s]));
#endif
#ifdef REACH_ASKED
        assert(!(s > 1 && !young[s]));
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
    ((left[e * 3] > 0) + (left[e * 3 + 1] > 0) + (left[e * 3 + 2] > 0) >= 2)
#endif

#ifdef NO_FENCE
#define MAY_RETIRE true
#else
#define MAY_RETIRE opened[2]
#endif
#define PROPOSE(h)                                                             \
    ::d_step { stored == 1 && h < 2 -> propose(h) }                            \
    ::d_step { stored == 2 && EPOCHS == 3 -> propose(h) }                      \
    ::d_step { stored == 2 && EPOCHS == 3 && MAY_RETIRE ->                    \
        propose_and_retire(h) }
#define LEARN_EPOCH(h)                                                         \
    ::d_step { known[h] < stored -> known[h] = stored }
#define GIVE_VOUCH(e, v)                                                       \
    ::d_step {                                                                 \
        e <= stored && known[home_of[e]] >= e && newest[VOUCHER(e, v)] <= e && \
            IS_LISTED(e, v) &&                                                 \
            (newest[VOUCHER(e, v)] < e || left[e * 3 + v] < LIFETIME) ->       \
        newest[VOUCHER(e, v)] = e;                                             \
        left[e * 3 + v] = LIFETIME }
#define HAS_MOVED(y, v) (newest[VOUCHER(y, v)] > y || !IS_LISTED(y, v))
#define NOTE_MOVED(y)                                                          \
    ::d_step {                                                                 \
        stored > y && waiting[y] == 0 &&                                       \
            HAS_MOVED(y, 0) + HAS_MOVED(y, 1) + HAS_MOVED(y, 2) >= 2 ->        \
        waiting[y] = WAIT + 1 }
#define OPEN(q)                                                                \
    ::d_step {                                                                 \
        q <= stored && !opened[q] && known[home_of[q]] >= q &&                 \
            (lowest[q] > 1 || waiting[1] == 1) &&                              \
            (q == 2 || waiting[2] == 1) ->                                     \
        opened[q] = true }
#define ANSWER_QUESTION(q, e)                                                  \
    ::d_step {                                                                 \
        minted && opened[q] && !young[q] && known[home_of[e]] >= e &&          \
            e >= lowest[known[home_of[q]]] && !clear[q * 3 + e] ->             \
        answer_question(q, e) }
#define CLAIM_KEY(h, e)                                                        \
    ::d_step {                                                                 \
        minted && recorded[h] == UNSEEN && e <= known[h] &&                    \
            home_of[known[h]] == h && home_of[e] == h && IS_VOUCHED(e) ->      \
        accept_key(h, e) }
#define DISPATCH(h)                                                            \
    ::d_step { recorded[h] == ACCEPTED -> dispatch(h) }
#define FINISH_NOT_RUN(h)                                                      \
    ::d_step { recorded[h] == ACCEPTED -> recorded[h] = UNSEEN }
/* One voucher, it doesn't matter which, restarts: a new incarnation that remembers nothing. */
#define RESTART(v)                                                             \
    ::d_step { incarnation == 0 -> incarnation = 1 << v; newest[v] = 0 }

#define EACH_HOME(STEP) STEP(0) STEP(1) STEP(2)
#define EACH_HOME_OF(STEP, a) STEP(a, 0) STEP(a, 1) STEP(a, 2)
#define EACH_CLAIM(h) CLAIM_KEY(h, 1) CLAIM_KEY(h, 2) CLAIM_KEY(h, 3)

init
{
    d_step {
        home_of[1] = 0;
        lowest[1] = 1;
        known[0] = 1;
        known[1] = 1;
        known[2] = 1;
        opened[1] = true
    }
    do
    ::d_step { true -> tick() }
    ::d_step {
        !minted -> minted = true;
        young[2] = opened[2];
        young[3] = opened[3] }
    EACH_HOME(PROPOSE)
    EACH_HOME(LEARN_EPOCH)
    EACH_HOME_OF(GIVE_VOUCH, 1)
    EACH_HOME_OF(GIVE_VOUCH, 2)
    EACH_HOME_OF(GIVE_VOUCH, 3)
    NOTE_MOVED(1)
    NOTE_MOVED(2)
    OPEN(2)
    OPEN(3)
    ANSWER_QUESTION(2, 1)
    ANSWER_QUESTION(3, 1)
    ANSWER_QUESTION(3, 2)
    EACH_HOME(EACH_CLAIM)
    EACH_HOME(DISPATCH)
    EACH_HOME(FINISH_NOT_RUN)
#ifndef SHIFTED
    RESTART(0)
#endif
    od
}
