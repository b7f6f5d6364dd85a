/*
 * An acknowledged departure is final: the node never sends requests to an
 * incarnation of the upstream whose departure it has acknowledged.
 *
 * The upstream has two incarnations under the same name, numbered 1 and 2 in
 * order of their start ("birth"). The node beside it may crash at any moment
 * and then keeps only what is in the platform's key-value store. The store may
 * be unavailable, and the reply to a write may be lost after the write took
 * effect. A report that an incarnation is ready may arrive at any later time
 * and any number of times, each late by another time, so that two of them prove
 * nothing, however far apart they arrive.
 *
 * While the record can't be read, a node asks the upstream's health endpoint.
 * The answer names the upstream, not the start; it says that the incarnation
 * that gives it is running and not leaving, and it may arrive late. Several checks
 * may be pending; as each answer counts by itself, one stands for all. A node that
 * has read its record once accepts two reports that arrive some time apart
 * (take_late_pair). With LATE_PROOF they count at any node: then it may send
 * requests to an incarnation that has departed, but only until it has read its
 * record (AFTER_READ).
 *
 * Steps have the names of the functions in src/departures. Mutations that must
 * yield a counterexample: NO_RECORD, NO_LOOK, NO_BORN, NO_WAIT, NO_START_TIME
 * (a departure without a start time closes only an incarnation that the node
 * knows), ACK_ALL (the end of a write acknowledges departures that arrived after
 * its beginning), LATE_PROOF, LEAVING_ANSWERS (an upstream that is leaving
 * answers health checks), KEPT_ANSWER (the answer to a check by an earlier process
 * counts), KEEP_OPEN with LATE_PROOF and AFTER_READ (reading the record
 * does not close an incarnation that is open). REACH_ANEW and REACH_WITHOUT_STORE assert that an incarnation is never opened for requests
 * after an acknowledged departure or without the store; both assertions must
 * fail.
 */

/* The store: the highest birth whose departure is recorded. */
byte recorded = 0;
bool is_store_up = true;

/* The upstream: the newest birth, whether that incarnation is leaving, and
 * whether the second one has ended. */
byte born = 1;
bool is_leaving = false;
bool is_gone = false;

/* The node's memory, as births; zero means none. `left`: the highest one known
 * to have left; `present`: the newest one reported ready; `open`: the one that
 * gets requests; `waiting`: reported ready, but the record has not been read;
 * `has_looked_once`: it has been read by this process, if not since the last write
 * that failed; `asking`: its departure waits for the acknowledgement. */
byte left = 0;
byte present = 0;
byte open = 0;
byte waiting = 0;
bool has_looked = false;
bool has_looked_once = false;
bool is_unrecorded = false;
byte asking = 0;

/* The pending health check: the birth that it is made for, and the one that has
 * answered. */
byte checked = 0;
byte answered = 0;

/* The pending write: the highest birth in it, zero if there is none, and the
 * birth whose departure it acknowledges. */
byte writing = 0;
byte covered = 0;

/* The highest birth whose departure was acknowledged. */
byte acknowledged = 0;

inline check()
{
#ifdef AFTER_READ
    assert(!has_looked || open == 0 || open > acknowledged);
#else
    assert(open == 0 || open > acknowledged);
#endif
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

#ifdef LATE_PROOF
#define IS_PROVEN_BY_LATE_PAIR true
#else
#define IS_PROVEN_BY_LATE_PAIR has_looked_once
#endif

#ifdef LEAVING_ANSWERS
#define MAY_ANSWER_CHECK true
#else
#define MAY_ANSWER_CHECK !is_leaving
#endif

#ifdef NO_LOOK
#define MAY_OPEN true
#else
#define MAY_OPEN has_looked
#endif

/* The highest birth that a departure without a start time closes: the newest one
 * so far, since the node compares start times with its wall clock. */
#ifdef NO_START_TIME
#define CLOSED_BY_DEPARTURE (present == born -> born : 0)
#else
#define CLOSED_BY_DEPARTURE born
#endif

/* A report that incarnation b is ready arrives, possibly late. */
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

/* A node that can't read its record begins a health check for the incarnation
 * that waits. */
inline begin_check()
{
    atomic {
        !has_looked && !has_looked_once && waiting != 0 && checked == 0 ->
            checked = waiting
    }
}

/* The upstream answers the check. */
inline answer_check()
{
    atomic {
        checked != 0 && answered == 0 && !is_gone && MAY_ANSWER_CHECK ->
            answered = born
    }
}

/* The answer arrives. Requests reach the incarnation that gave it. */
inline take_check()
{
    atomic {
        answered != 0 ->
            if
            :: waiting != 0 && waiting == checked && !HAS_LEFT(waiting) ->
                open = answered;
                waiting = 0
            :: else -> skip
            fi;
            checked = 0;
            answered = 0;
            check()
    }
}

/* The check ends without an answer. */
inline fail_check()
{
    atomic {
        checked != 0 -> checked = 0; answered = 0
    }
}

/* Two reports of incarnation b that are both late arrive some time apart. */
inline take_late_pair(b)
{
    atomic {
        born >= b && !has_looked && !HAS_LEFT(b) && !IS_OUTDATED(b) ->
            present = b;
            if
            :: IS_PROVEN_BY_LATE_PAIR -> open = b; waiting = 0
            :: else -> waiting = b
            fi;
            check()
    }
}

/* The newest incarnation reports that it is leaving. */
inline take_leaving()
{
    atomic {
        is_leaving && !is_gone ->
            left = (CLOSED_BY_DEPARTURE > left -> CLOSED_BY_DEPARTURE : left);
            open = 0;
            waiting = 0;
            is_unrecorded = true;
            asking = born
#ifdef NO_RECORD
            ; acknowledged = born
#endif
    }
}

/* Reads the record from the store. */
inline look()
{
    atomic {
        is_store_up && !has_looked ->
            has_looked = true;
            has_looked_once = true;
            left = (recorded > left -> recorded : left);
#ifndef KEEP_OPEN
            open = (open > left -> open : 0);
#endif
            if
            :: waiting != 0 && waiting > left -> open = waiting
            :: else -> skip
            fi;
            waiting = 0;
            check()
    }
}

/* Begins to write the record. A departure that arrives before the write has
 * ended needs another one. */
inline begin_write()
{
    atomic {
        has_looked && is_unrecorded && writing == 0 ->
            writing = left;
            covered = asking;
            asking = 0;
            is_unrecorded = false
    }
}

/* The write ends; the reply arrives or is lost. After a lost reply the record is
 * read again, and written again. */
inline end_write()
{
    atomic {
        is_store_up && writing != 0 ->
            recorded = (writing > recorded -> writing : recorded);
            writing = 0;
#ifdef ACK_ALL
            covered = (asking > covered -> asking : covered);
#endif
            if
            :: acknowledged = (covered > acknowledged -> covered : acknowledged)
            :: has_looked = false;
               is_unrecorded = true;
               asking = (covered > asking -> covered : asking)
            fi;
            covered = 0;
            check()
    }
}

/* The write fails without an effect. */
inline fail_write()
{
    atomic {
        writing != 0 ->
            writing = 0;
            has_looked = false;
            is_unrecorded = true;
            asking = (covered > asking -> covered : asking);
            covered = 0
    }
}

/* The node restarts without its memory; a pending write may still be made. */
inline crash()
{
    atomic {
        if
        :: recorded = (writing > recorded -> writing : recorded)
        :: writing = 0
        fi;
        writing = 0; covered = 0;
        left = 0; present = 0; open = 0; waiting = 0; asking = 0;
        has_looked = false; has_looked_once = false; is_unrecorded = false;
#ifndef KEPT_ANSWER
        checked = 0; answered = 0;
#endif
    }
}

active proctype system()
{
    do
    :: take_ready(1)
    :: born == 2 -> take_ready(2)
    :: begin_check()
    :: answer_check()
    :: take_check()
    :: fail_check()
    :: take_late_pair(1)
    :: take_late_pair(2)
    :: !is_leaving -> is_leaving = true
    :: take_leaving()
#ifdef NO_WAIT
    /* Acknowledges the departure before the store has confirmed the record. */
    :: atomic { asking != 0 -> acknowledged = asking; asking = 0 }
#endif
    :: look()
    :: begin_write()
    :: end_write()
    :: fail_write()
    :: crash()
    :: atomic { is_store_up = !is_store_up }
    /* The first incarnation ends and the second one starts under its name. */
    :: atomic { is_leaving && born == 1 -> born = 2; is_leaving = false }
    :: is_leaving && born == 2 && !is_gone -> is_gone = true
    od
}
