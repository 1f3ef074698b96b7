/*
 * At most once by binding.
 *
 * One non-idempotent request under binding b1 of gate A. The caller sends it
 * through two origins. The network may lose, repeat and reorder every message:
 * a message once sent may be taken any number of times, or never. Both gates
 * may crash and restart, which forgets all records and starts the next
 * incarnation. A refused request may move to gate B under a fresh binding of
 * the origin that moves it.
 *
 * Promises checked:
 *   AT_MOST_ONCE     the backend servers start the request at most once
 *   NOT_RUN_IS_TRUE  once a caller was told "not run", it has not run and
 *                    never will
 *
 * faults: FAULT_NO_FENCE FAULT_MOVE_BY_ANYONE FAULT_IGNORE_INCARNATION FAULT_SILENCE_IS_NOT_RUN
 */

#define ORIGINS 2
#define NOBODY 9

mtype = { open, running, finished, fenced, moved,
          no_reply, not_run, completed, unknown, led_on, move_accepted,
          move_refused };

/* Gate A: the record of b1, issued by incarnation 0. */
byte incarnation_a = 0;
mtype record_a = open;
byte refused_origin = NOBODY;  /* whose run was refused; it alone may move */
byte moved_to = NOBODY;        /* origin whose fresh binding replaced b1 */

/* Gate B: one fresh binding per origin, issued by incarnation 0. */
byte incarnation_b = 0;
mtype record_b[ORIGINS] = open;

/* Messages that are in the network, each there for good once sent. */
bool run_a[ORIGINS];
bool move_a[ORIGINS];
bool run_b[4];    /* origin * 2 + binding's owner */
bool query_b[ORIGINS];

/* Latest reply per origin from each gate; an origin may also see none. */
mtype reply_run_a[ORIGINS] = no_reply;
mtype reply_move_a[ORIGINS] = no_reply;
mtype reply_b[4] = no_reply;
mtype reply_query_b[ORIGINS] = no_reply;

byte executions = 0;
bool told_not_run = false;

inline start_request() {
  executions++;
  assert(executions <= 1);   /* AT_MOST_ONCE */
  assert(!told_not_run)      /* NOT_RUN_IS_TRUE */
}

inline tell_not_run() {
  assert(executions == 0);   /* NOT_RUN_IS_TRUE */
  told_not_run = true
}

inline take_run_a(o) {
  if
#ifdef FAULT_IGNORE_INCARNATION
#else
  :: incarnation_a != 0 -> reply_run_a[o] = unknown
#endif
#ifdef FAULT_IGNORE_INCARNATION
  :: true ->
#else
  :: else ->
#endif
    if
    :: record_a == open ->
      if
      :: record_a = running; start_request()
      :: /* Refused for overload: the refusal is itself a fence. */
#ifndef FAULT_NO_FENCE
        record_a = fenced;
#endif
        refused_origin = o;
        reply_run_a[o] = not_run
      fi
    :: record_a == running -> skip               /* joins */
    :: record_a == finished -> reply_run_a[o] = completed
    :: record_a == fenced ->
#ifndef FAULT_MOVE_BY_ANYONE
      /* Word from another call ends the right to move. */
      if
      :: refused_origin != o -> refused_origin = NOBODY
      :: else -> skip
      fi;
#endif
      reply_run_a[o] = not_run
    :: record_a == moved -> reply_run_a[o] = led_on
    fi
  fi
}

inline take_move_a(o) {
  if
  :: incarnation_a != 0 -> reply_move_a[o] = move_refused
  :: else ->
    if
    :: record_a == moved && moved_to == o -> reply_move_a[o] = move_accepted
#ifdef FAULT_MOVE_BY_ANYONE
    :: record_a == fenced ->
#else
    :: record_a == fenced && refused_origin == o ->
#endif
      record_a = moved; moved_to = o; reply_move_a[o] = move_accepted
    :: else -> reply_move_a[o] = move_refused
    fi
  fi
}

inline take_run_b(o, owner) {
  if
  :: incarnation_b != 0 -> reply_b[o * 2 + owner] = unknown
  :: else ->
    if
    :: record_b[owner] == open ->
      if
      :: record_b[owner] = running; start_request()
      :: record_b[owner] = fenced; reply_b[o * 2 + owner] = not_run
      fi
    :: record_b[owner] == running -> skip
    :: record_b[owner] == finished -> reply_b[o * 2 + owner] = completed
    :: record_b[owner] == fenced -> reply_b[o * 2 + owner] = not_run
    fi
  fi
}

inline take_query_b(o) {
  if
  :: incarnation_b != 0 -> reply_query_b[o] = unknown
  :: else ->
    if
    :: record_b[o] == open -> record_b[o] = fenced; reply_query_b[o] = not_run
    :: record_b[o] == fenced -> reply_query_b[o] = not_run
    :: record_b[o] == running -> reply_query_b[o] = unknown
    :: record_b[o] == finished -> reply_query_b[o] = completed
    fi
  fi
}

active proctype GateA() {
end:
  do
  :: atomic { run_a[0] -> take_run_a(0) }
  :: atomic { run_a[1] -> take_run_a(1) }
  :: atomic { move_a[0] -> take_move_a(0) }
  :: atomic { move_a[1] -> take_move_a(1) }
  :: atomic { record_a == running -> record_a = finished }
  :: atomic { incarnation_a == 0 ->
      incarnation_a = 1; record_a = open; refused_origin = NOBODY;
      moved_to = NOBODY }
  od
}

active proctype GateB() {
end:
  do
  :: atomic { run_b[0] -> take_run_b(0, 0) }
  :: atomic { run_b[1] -> take_run_b(0, 1) }
  :: atomic { run_b[2] -> take_run_b(1, 0) }
  :: atomic { run_b[3] -> take_run_b(1, 1) }
  :: atomic { query_b[0] -> take_query_b(0) }
  :: atomic { query_b[1] -> take_query_b(1) }
  :: atomic { record_b[0] == running -> record_b[0] = finished }
  :: atomic { record_b[1] == running -> record_b[1] = finished }
  :: atomic { incarnation_b == 0 ->
      incarnation_b = 1; record_b[0] = open; record_b[1] = open }
  od
}

proctype Origin(byte me) {
  byte owner = me;
  run_a[me] = true;
  if
  :: reply_run_a[me] == completed -> goto done
  :: reply_run_a[me] == unknown -> goto done       /* tells unknown */
  :: reply_run_a[me] == led_on -> owner = moved_to;
    if
    :: owner == NOBODY -> goto done                /* the gate restarted */
    :: else -> goto follow
    fi
  :: reply_run_a[me] == not_run ->
    if
    :: tell_not_run(); goto done                   /* does not move it */
    :: move_a[me] = true
    fi
  :: true ->                                       /* lost: tells unknown */
#ifdef FAULT_SILENCE_IS_NOT_RUN
    tell_not_run();
#endif
    goto done
  fi;
  if
  :: reply_move_a[me] == move_accepted -> goto follow
  :: reply_move_a[me] == move_refused ->
    /* b1 is fenced, and nobody else may move it. Unless it was moved. */
    reply_run_a[me] = no_reply;
    if
    :: reply_run_a[me] == not_run -> tell_not_run(); goto done
    :: true -> goto done
    fi
  :: true ->                                       /* lost: fence the new one */
    query_b[me] = true;
    if
    :: reply_query_b[me] == not_run -> tell_not_run(); goto done
    :: true -> goto done                           /* tells unknown */
    fi
  fi;
follow:
  run_b[me * 2 + owner] = true;
  if
  :: reply_b[me * 2 + owner] == completed -> goto done
  :: reply_b[me * 2 + owner] == not_run -> tell_not_run()
  :: reply_b[me * 2 + owner] == unknown -> goto done
  :: true -> goto done
  fi;
done:
  skip
}

init {
  atomic { run Origin(0); run Origin(1) }
}
