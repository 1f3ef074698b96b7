/*
 * Conserved retry allowance over fan-out and depth.
 *
 * Each visit calls FANOUT children in turn and lends each a part of what it
 * holds. A child that is lost may go on spending its loan, so the loan is gone
 * for the parent. An answer brings back what was unspent.
 *
 * Promise checked:
 *   RETRIES_BOUNDED  all retries that one original request causes are at most
 *                    its allowance
 *
 * faults: FAULT_LOST_LOAN_COMES_BACK FAULT_FRESH_ALLOWANCE_PER_HOP
 */

#define ALLOWANCE 2
#define DEPTH 2
#define FANOUT 2
#define LOST 255

byte retries = 0;

proctype Visit(byte depth; byte allowance; chan reply) {
  byte remaining = allowance;
  byte loan;
  byte unspent;
  byte child = 0;
  chan answer = [1] of { byte };
  do
  :: depth == 0 || child == FANOUT -> break
  :: depth > 0 && child < FANOUT ->
attempt:
    atomic {
      /* Keeps one back for a retry of its own, or lends all. */
      if
      :: remaining > 0 -> loan = remaining - 1
      :: loan = remaining
      fi;
      remaining = remaining - loan;
#ifdef FAULT_FRESH_ALLOWANCE_PER_HOP
      run Visit(depth - 1, ALLOWANCE, answer)
#else
      run Visit(depth - 1, loan, answer)
#endif
    }
    answer ? unspent;
    if
    :: unspent == LOST ->
#ifdef FAULT_LOST_LOAN_COMES_BACK
      remaining = remaining + loan;
#endif
      if
      :: remaining > 0 ->
        remaining--;
        retries++;
        assert(retries <= ALLOWANCE);   /* RETRIES_BOUNDED */
        goto attempt
      :: child++
      fi
    :: else ->
      remaining = remaining + unspent;
      child++
    fi
  od;
  /* The answer arrives, or is lost on its way. */
  if
  :: reply ! remaining
  :: reply ! LOST
  fi
}

init {
  chan answer = [1] of { byte };
  byte unspent;
  run Visit(DEPTH, ALLOWANCE, answer);
  answer ? unspent
}
