/*
 * Merge and spread of change tickets.
 *
 * Three nodes hold one item: (number, text). Two texts were published under
 * number 2. Any node may read the platform, which may be stale, and may send
 * its item to any other at any time; messages may be late, repeated and
 * reordered. Nodes 0 and 1 can be cut off from node 2 and the platform.
 *
 * Promises checked:
 *   NEVER_BACK  the item in force at a node never goes back
 *   CONVERGES   two nodes that exchanged their items last hold the same one
 *
 * faults: FAULT_LAST_WRITER_WINS FAULT_FIRST_TEXT_WINS
 */

#define NODES 3

/* Versions in their order: none, 1, 2 (text a), 2 (text b), 3. */
byte held[NODES];
/* Versions that some node has sent: each may arrive anywhere, at any time. */
bool sent[5];
bool cut = false;

#define NUMBER(v) (v <= 1 -> v : (v <= 3 -> 2 : 3))

#ifdef FAULT_LAST_WRITER_WINS
#define NEWER(v, w) (v != w && v != 0)
#else
#ifdef FAULT_FIRST_TEXT_WINS
#define NEWER(v, w) (NUMBER(v) > NUMBER(w))
#else
#define NEWER(v, w) (v > w)
#endif
#endif

inline take(n, v) {
  if
  :: NEWER(v, held[n]) ->
    assert(NUMBER(v) >= NUMBER(held[n]));   /* NEVER_BACK */
    held[n] = v
  :: else -> skip
  fi
}

proctype Node(byte n) {
  byte v;
  do
  :: atomic {
      /* A read of the platform, which shows any version published so far. */
      !cut || n == 2 -> select(v : 1 .. 4); take(n, v) }
  :: atomic { held[n] != 0 -> sent[held[n]] = true }
  :: atomic { sent[1] -> take(n, 1) }
  :: atomic { sent[2] -> take(n, 2) }
  :: atomic { sent[3] -> take(n, 3) }
  :: atomic { sent[4] -> take(n, 4) }
  :: break
  od
}

init {
  byte a;
  byte b;
  atomic { run Node(0); run Node(1); run Node(2) }
  if
  :: cut = true
  :: skip
  fi;
  (_nr_pr == 1);
  /* Healed: a last exchange between all pairs. */
  cut = false;
  atomic {
    a = held[0]; b = held[1];
    take(1, a); take(0, b);
    a = held[1]; b = held[2];
    take(2, a); take(1, b);
    a = held[0]; b = held[2];
    take(0, b); take(2, a);
    assert(held[0] == held[1] && held[1] == held[2])   /* CONVERGES */
  }
}
