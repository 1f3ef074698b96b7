/*
 * Planned stop of a node.
 *
 * Two origins send requests to a gate that stops at any moment. Each request
 * has time to finish before the stop's time limit, as deadlines see to.
 *
 * Promises checked:
 *   NO_REQUEST_CUT     the process exits only when nothing is in flight
 *   NO_WORK_AFTER_EXIT a request is answered, not dropped
 *   LEAVING_REFUSES    nothing starts after the announcement
 *
 * faults: FAULT_EXIT_AT_ONCE FAULT_ACCEPTS_WHILE_LEAVING
 */

#define ORIGINS 2

mtype = { request, done, refused };

chan to_gate[ORIGINS] = [1] of { mtype };
chan to_origin[ORIGINS] = [1] of { mtype };

bool leaving = false;
bool exited = false;
byte in_flight = 0;
bool runs[ORIGINS];

inline take(o) {
  to_gate[o] ? request;
  if
#ifdef FAULT_ACCEPTS_WHILE_LEAVING
  :: true ->
#else
  :: leaving -> to_origin[o] ! refused
  :: else ->
#endif
    assert(!leaving);      /* LEAVING_REFUSES */
    runs[o] = true; in_flight++
  fi
}

inline finish(o) {
  runs[o] = false;
  in_flight--;
  to_origin[o] ! done
}

active proctype Gate() {
  do
  :: atomic { nempty(to_gate[0]) -> take(0) }
  :: atomic { nempty(to_gate[1]) -> take(1) }
  :: atomic { runs[0] -> finish(0) }
  :: atomic { runs[1] -> finish(1) }
  :: atomic { !leaving -> leaving = true }
#ifdef FAULT_EXIT_AT_ONCE
  :: atomic { leaving -> assert(in_flight == 0); exited = true; break }
#else
  :: atomic { leaving && in_flight == 0 && empty(to_gate[0]) &&
              empty(to_gate[1]) ->
      assert(in_flight == 0);   /* NO_REQUEST_CUT */
      exited = true; break }
#endif
  od
}

proctype Origin(byte o) {
  byte sends = 0;
  do
  :: sends < 2 && !exited ->
    atomic {
      if
      :: !exited -> to_gate[o] ! request; sends++
      :: else -> break     /* the connection is refused: never sent */
      fi
    }
    if
    :: to_origin[o] ? done
    :: to_origin[o] ? refused -> break
    :: exited && empty(to_origin[o]) ->
      assert(false)        /* NO_WORK_AFTER_EXIT */
    fi
  :: break
  od
}

init {
  atomic { run Origin(0); run Origin(1) }
}
