/*
 * An acknowledged leaving binds.
 *
 * One upstream has two lives under one name, told apart by their births 1 and
 * 2. The node beside it may crash at any moment and forgets everything but what
 * the platform's store holds. The store may be down; a write's answer may be
 * lost after the write took effect. A report that a life is ready may arrive at
 * any later time, any number of times.
 *
 * While the store is down, a node that has not looked takes a life for ready
 * only after two reports that are a second apart. Reports that were held up
 * arrive together, so such a pair comes from a life that still reports: this is
 * an assumption of the model (take_live_pair).
 *
 * Names of steps: src/departures. Mutations that must give a counterexample:
 * NO_RECORD, NO_LOOK, NO_BORN, NO_WAIT. REACH_ANEW and REACH_WITHOUT_STORE
 * assert that a life is never opened; each must fail.
 */

/* The store: the highest birth recorded as left. */
byte recorded = 0;
bool is_store_up = true;

/* The upstream: the births so far, and whether the newest life leaves. */
byte born = 1;
bool is_leaving = false;
bool is_gone = false;

/* The node. `left` is the highest birth that it knows to have left. */
byte left = 0;
byte present = 0;
byte open = 0;
byte waiting = 0;
bool has_looked = false;
bool is_unrecorded = false;
byte asking = 0;

/* The highest birth whose leaving was acknowledged. */
byte acknowledged = 0;

inline check()
{
    assert(open == 0 || open > acknowledged);
#ifdef REACH_ANEW
    assert(!(open == 2 && acknowledged == 1));
#endif
#ifdef REACH_WITHOUT_STORE
    assert(!(open == 1 && !has_looked));
#endif
}

#ifdef NO_BORN
#define HAS_LEFT(b) false
#define IS_OUTDATED(b) false
#else
#define HAS_LEFT(b) (b <= left)
#define IS_OUTDATED(b) (b < present)
#endif

#ifdef NO_LOOK
#define MAY_OPEN true
#else
#define MAY_OPEN has_looked
#endif

/* A report that life b is ready arrives, perhaps late. */
inline take_ready(b)
{
    atomic {
        if
        :: HAS_LEFT(b) || IS_OUTDATED(b) -> skip
        :: else ->
            present = b;
            if
            :: MAY_OPEN -> open = b; waiting = 0
            :: else -> waiting = b
            fi
        fi;
        check()
    }
}

/* Two reports that are a second apart: the life still reports. */
inline take_live_pair()
{
    atomic {
        !has_looked && !is_leaving && !is_gone && born > left ->
            present = born;
            open = born;
            waiting = 0;
            check()
    }
}

inline take_leaving()
{
    atomic {
        is_leaving && !is_gone ->
            left = (born > left -> born : left);
            open = 0;
            waiting = 0;
            is_unrecorded = true;
            asking = born
#ifdef NO_RECORD
            ; acknowledged = born
#endif
    }
}

inline look()
{
    atomic {
        is_store_up && !has_looked ->
            has_looked = true;
            left = (recorded > left -> recorded : left);
            if
            :: waiting != 0 && waiting > left -> open = waiting
            :: else -> skip
            fi;
            waiting = 0;
            check()
    }
}

/* The record is written; its answer arrives or is lost. */
inline write_record()
{
    atomic {
        is_store_up && has_looked && is_unrecorded ->
            recorded = (left > recorded -> left : recorded);
            if
            :: is_unrecorded = false;
               acknowledged = (asking > acknowledged -> asking : acknowledged);
               asking = 0
            :: has_looked = false
            fi;
            check()
    }
}

inline crash()
{
    atomic {
        left = 0; present = 0; open = 0; waiting = 0; asking = 0;
        has_looked = false; is_unrecorded = false;
    }
}

active proctype system()
{
    do
    :: take_ready(1)
    :: born == 2 -> take_ready(2)
    :: take_live_pair()
    :: !is_leaving -> is_leaving = true
    :: take_leaving()
#ifdef NO_WAIT
    /* Acknowledges before the store has answered. */
    :: atomic { asking != 0 -> acknowledged = asking; asking = 0 }
#endif
    :: look()
    :: write_record()
    :: crash()
    :: atomic { is_store_up = !is_store_up }
    /* The life ends, and the next one has the same name. */
    :: atomic { is_leaving && born == 1 -> born = 2; is_leaving = false }
    :: is_leaving && born == 2 && !is_gone -> is_gone = true
    od
}
