/*
 * Claims on one request id: two claimants, old list {0,1,2}, new list {2,3,4}.
 *
 * While its claim is pending, a request to a witness may be handled at any time,
 * any number of times or never. This covers loss, delay, duplication and
 * reordering of messages. A verdict reaches the claimant at once: a late or lost
 * verdict would only leave the claimant with fewer grants, and the model lets a
 * claimant do less at any time anyway.
 *
 * Time passes in ticks, without end and between any two steps; only ages are
 * counted. Copies of the request arrive less than MAX_COPY_AGE_TICKS after the
 * first one, and a claimant decides less than CLAIM_TIMEOUT_TICKS after its start.
 * GRANT_LIFETIME_TICKS is the sum of both: the time for which a grant is stored
 * and for which a restarted witness abstains.
 *
 * docs/MODEL.md maps each step to the code. Further switches: IDEMPOTENT models
 * shared and exclusive claims, ASSERT_NEVER_RUNS asserts that the request never
 * runs, which must fail and so shows that a run is reachable, and the mutants are
 * listed in docs/MODEL.md.
 */

#ifndef MAX_COPY_AGE_TICKS
#define MAX_COPY_AGE_TICKS 2
#define CLAIM_TIMEOUT_TICKS 2
#endif
#ifdef SHORT_GRANT_LIFETIME
#define GRANT_LIFETIME_TICKS (MAX_COPY_AGE_TICKS)
#else
#define GRANT_LIFETIME_TICKS (MAX_COPY_AGE_TICKS + CLAIM_TIMEOUT_TICKS)
#endif
#define MAX_RESTARTS 1
#define WITNESS_COUNT 5

#define IDLE 0
#define CLAIMING 1
#define FINISHED 2

#define RUN 0
#define REFUSE 1

/* Ages in ticks; each stops growing once a greater value would make no difference. */
bool is_new_list_published = false;
byte new_list_age_ticks;
bool has_first_copy = false;
byte first_copy_age_ticks;
byte restarts = 0;

byte stage[2];
byte purpose[2];
byte claimant_list_version[2];
byte claim_age_ticks[2];
bool has_grant[10];  /* grants received under the claimant's list, by GRANT_INDEX */

byte witness_list_version[WITNESS_COUNT];
byte witness_list_age_ticks[WITNESS_COUNT];
byte abstention_left_ticks[WITNESS_COUNT];
byte grant_holders[WITNESS_COUNT];  /* bit set of claimants */
bool is_shared[WITNESS_COUNT];
byte grant_age_ticks[WITNESS_COUNT];

bool has_run = false;
bool has_refused = false;
byte claimant_bit;

#ifdef IDEMPOTENT
#define IS_SHARED_BY(c) (purpose[c] == RUN)
#else
#define IS_SHARED_BY(c) false
#endif

#define GRANT_INDEX(c, w) ((c) * WITNESS_COUNT + (w))

#define IS_IN_OLD_LIST(w) ((w) <= 2)

#define OLD_LIST_GRANT_COUNT(c) (has_grant[GRANT_INDEX(c, 0)] + \
  has_grant[GRANT_INDEX(c, 1)] + has_grant[GRANT_INDEX(c, 2)])
#define NEW_LIST_GRANT_COUNT(c) (has_grant[GRANT_INDEX(c, 2)] + \
  has_grant[GRANT_INDEX(c, 3)] + has_grant[GRANT_INDEX(c, 4)])

#define HAS_DEPARTED(w) (witness_list_version[w] == 2 && \
  witness_list_age_ticks[w] >= GRANT_LIFETIME_TICKS)
#define DEPARTED_COUNT (HAS_DEPARTED(0) + HAS_DEPARTED(1) + HAS_DEPARTED(2))

#ifdef IDEMPOTENT
#define QUORUM(c) (purpose[c] == RUN -> 1 : 3)
#ifdef MAJORITY_DEPARTED
#define DEPARTURES_NEEDED(c) 2
#else
#define DEPARTURES_NEEDED(c) (purpose[c] == RUN -> 1 : 3)
#endif
#else
#ifdef ONE_GRANT
#define QUORUM(c) 1
#else
#define QUORUM(c) 2
#endif
#define DEPARTURES_NEEDED(c) 2
#endif

#ifdef SKIP_OLD_LIST
#define IS_OLD_LIST_RETIRED(c) true
#else
#ifdef RETIRE_OLD_LIST_BY_TIME
#define IS_OLD_LIST_RETIRED(c) (new_list_age_ticks >= GRANT_LIFETIME_TICKS)
#else
#define IS_OLD_LIST_RETIRED(c) (DEPARTED_COUNT >= DEPARTURES_NEEDED(c))
#endif
#endif

#define HAS_QUORUM(c) ((claimant_list_version[c] == 1 && OLD_LIST_GRANT_COUNT(c) >= QUORUM(c)) || \
  (claimant_list_version[c] == 2 && NEW_LIST_GRANT_COUNT(c) >= QUORUM(c) && \
  (IS_OLD_LIST_RETIRED(c) || OLD_LIST_GRANT_COUNT(c) >= QUORUM(c))))

#ifdef NO_ABSTENTION
#define IS_GRANTING(w) true
#else
#define IS_GRANTING(w) (abstention_left_ticks[w] == 0)
#endif

#ifdef ACCEPT_OLDER_LIST
#define IS_LIST_ACCEPTED(w, v) true
#else
#define IS_LIST_ACCEPTED(w, v) (v >= witness_list_version[w])
#endif

inline decide(c, w) {
#ifdef REUSE_INCARNATION
  claimant_bit = 1;
#else
  claimant_bit = 1 << c;
#endif
  if
  :: grant_holders[w] == 0 ->
     grant_holders[w] = claimant_bit;
     grant_age_ticks[w] = 0;
     is_shared[w] = IS_SHARED_BY(c);
     has_grant[GRANT_INDEX(c, w)] = true
  :: else ->
     if
     :: grant_holders[w] == claimant_bit ->
        is_shared[w] = is_shared[w] && IS_SHARED_BY(c);
        has_grant[GRANT_INDEX(c, w)] = true
     :: grant_holders[w] != claimant_bit && is_shared[w] && IS_SHARED_BY(c) ->
        grant_holders[w] = grant_holders[w] | claimant_bit;
        has_grant[GRANT_INDEX(c, w)] = true
     :: else -> skip
     fi
  fi;
  claimant_bit = 0
}

inline clear_received_grants(c) {
  has_grant[GRANT_INDEX(c, 0)] = false;
  has_grant[GRANT_INDEX(c, 1)] = false;
  has_grant[GRANT_INDEX(c, 2)] = false;
  has_grant[GRANT_INDEX(c, 3)] = false;
  has_grant[GRANT_INDEX(c, 4)] = false
}

inline finish_claim(c) {
  stage[c] = FINISHED;
  claim_age_ticks[c] = 0;
  purpose[c] = RUN;
  claimant_list_version[c] = 2;
  clear_received_grants(c)
}

inline adopt_new_list(w) {
  witness_list_version[w] = 2;
  witness_list_age_ticks[w] = 0
}

inline drop_grant(w) {
  grant_holders[w] = 0;
  is_shared[w] = false;
  grant_age_ticks[w] = 0
}

inline restart_witness(w) {
  restarts++;
  drop_grant(w);
  abstention_left_ticks[w] = GRANT_LIFETIME_TICKS;
  witness_list_age_ticks[w] = 0
}

inline assert_safety() {
#ifndef IDEMPOTENT
  assert(!(has_run && is_second_run));
#endif
#ifdef ASSERT_NEVER_RUNS
  assert(!has_run);
#endif
  assert(!(has_run && has_refused))
}

#define INCREMENT_UP_TO(age, limit) if :: age < limit -> age++ :: else -> skip fi

inline age_witness(w) {
  if
  :: grant_holders[w] != 0 && grant_age_ticks[w] + 1 >= GRANT_LIFETIME_TICKS -> drop_grant(w)
  :: grant_holders[w] != 0 && grant_age_ticks[w] + 1 < GRANT_LIFETIME_TICKS -> grant_age_ticks[w]++
  :: else -> skip
  fi;
  if :: abstention_left_ticks[w] > 0 -> abstention_left_ticks[w]-- :: else -> skip fi
}

inline age_old_witness(w) {
  if
  :: witness_list_version[w] == 2 ->
     INCREMENT_UP_TO(witness_list_age_ticks[w], GRANT_LIFETIME_TICKS)
  :: else -> skip
  fi;
  age_witness(w)
}

/* A claimant whose time is over gives up: the outcome of the request is unknown. */
inline age_claimant(c) {
  if
  :: stage[c] == CLAIMING && claim_age_ticks[c] + 1 < CLAIM_TIMEOUT_TICKS -> claim_age_ticks[c]++
  :: stage[c] == CLAIMING && claim_age_ticks[c] + 1 >= CLAIM_TIMEOUT_TICKS -> finish_claim(c)
  :: else -> skip
  fi
}

inline tick() {
#ifdef RETIRE_OLD_LIST_BY_TIME
  if
  :: is_new_list_published -> INCREMENT_UP_TO(new_list_age_ticks, GRANT_LIFETIME_TICKS)
  :: else -> skip
  fi;
#endif
  if
  :: has_first_copy -> INCREMENT_UP_TO(first_copy_age_ticks, MAX_COPY_AGE_TICKS)
  :: else -> skip
  fi;
  age_claimant(0);
  age_claimant(1);
  age_old_witness(0);
  age_old_witness(1);
  age_old_witness(2);
  age_witness(3);
  age_witness(4)
}

/*
 * Two witnesses in the same state are interchangeable, so only the first of them
 * takes steps. No assertion can be violated any more once both claimants have
 * finished, or once one has finished and nobody has run or refused the request.
 */
#define ARE_EQUIVALENT(v, w) ( \
  witness_list_version[v] == witness_list_version[w] && \
  witness_list_age_ticks[v] == witness_list_age_ticks[w] && \
  abstention_left_ticks[v] == abstention_left_ticks[w] && grant_holders[v] == grant_holders[w] && \
  is_shared[v] == is_shared[w] && grant_age_ticks[v] == grant_age_ticks[w] && \
  has_grant[GRANT_INDEX(0, v)] == has_grant[GRANT_INDEX(0, w)] && \
  has_grant[GRANT_INDEX(1, v)] == has_grant[GRANT_INDEX(1, w)])
#define IS_REPRESENTATIVE(w) (!(w == 1 && ARE_EQUIVALENT(0, 1)) && \
  !(w == 4 && ARE_EQUIVALENT(3, 4)))
#define IS_FINISHED (((stage[0] == FINISHED) + (stage[1] == FINISHED) == 2) || \
  ((stage[0] == FINISHED || stage[1] == FINISHED) && !has_run && !has_refused))

#define FOR_EACH_CLAIMANT(STEP) STEP(0) STEP(1)
#define FOR_EACH_OLD_WITNESS(STEP) STEP(0) STEP(1) STEP(2)
#define FOR_EACH_CLAIMANT_AND_WITNESS(STEP) \
  STEP(0, 0) STEP(0, 1) STEP(0, 2) STEP(0, 3) STEP(0, 4) \
  STEP(1, 0) STEP(1, 1) STEP(1, 2) STEP(1, 3) STEP(1, 4)

/*
 * A claimant receives a copy and sends requests to the witnesses. Claimant 0 is
 * always the first to receive one.
 */
#define RECEIVE_COPY_AS(c, wanted) :: d_step { \
  stage[c] == IDLE && (c == 0 || stage[0] != IDLE) && \
  (!has_first_copy || first_copy_age_ticks < MAX_COPY_AGE_TICKS) -> \
  has_first_copy = true; stage[c] = CLAIMING; purpose[c] = wanted }
#ifdef IDEMPOTENT
#define RECEIVE_COPY(c) RECEIVE_COPY_AS(c, RUN) RECEIVE_COPY_AS(c, REFUSE)
#else
#define RECEIVE_COPY(c) RECEIVE_COPY_AS(c, RUN)
#endif

/* A claimant adopts the new list and starts its claim again. */
#define FOLLOW_LIST(c) :: d_step { \
  is_new_list_published && claimant_list_version[c] == 1 && stage[c] != FINISHED -> \
  claimant_list_version[c] = 2; clear_received_grants(c) }

/* A claimant with a quorum runs the request, or refuses it as not run. */
#define CAN_DECIDE(c) (stage[c] == CLAIMING && HAS_QUORUM(c))
#ifdef IDEMPOTENT
#define MAY_RUN(c) (purpose[c] == RUN)
#define MAY_REFUSE(c) (purpose[c] == REFUSE)
#define is_second_run false
#else
#define MAY_RUN(c) true
#define MAY_REFUSE(c) true
bool is_second_run = false;
#endif
#ifdef IDEMPOTENT
#define DECIDE_TO_RUN(c) :: d_step { CAN_DECIDE(c) && MAY_RUN(c) -> \
  has_run = true; finish_claim(c); assert_safety() }
#else
#define DECIDE_TO_RUN(c) :: d_step { CAN_DECIDE(c) && MAY_RUN(c) -> \
  is_second_run = has_run; has_run = true; finish_claim(c); assert_safety() }
#endif
#define DECIDE_TO_REFUSE(c) :: d_step { CAN_DECIDE(c) && MAY_REFUSE(c) -> \
  has_refused = true; finish_claim(c); assert_safety() }

/* A witness adopts the new list. */
#define ADOPT_NEW_LIST(w) :: d_step { \
  is_new_list_published && witness_list_version[w] == 1 && IS_REPRESENTATIVE(w) -> \
  adopt_new_list(w) }

/* A witness restarts without its grants, and may have the old list in force again. */
#define RESTART(w) :: d_step { \
  restarts < MAX_RESTARTS && IS_REPRESENTATIVE(w) -> restart_witness(w) }
#define RESTART_WITH_OLD_LIST(w) :: d_step { \
  restarts < MAX_RESTARTS && witness_list_version[w] == 2 && IS_REPRESENTATIVE(w) -> \
  restart_witness(w); witness_list_version[w] = 1 }

/* A witness handles a request made under the claimant's list. */
#define IS_REQUEST_PENDING(c, w) (stage[c] == CLAIMING && !has_grant[GRANT_INDEX(c, w)] && \
  (claimant_list_version[c] == 2 || IS_IN_OLD_LIST(w)))
#define HANDLE_CLAIM_REQUEST(c, w) :: d_step { \
  IS_REQUEST_PENDING(c, w) && IS_REPRESENTATIVE(w) && \
  IS_LIST_ACCEPTED(w, claimant_list_version[c]) && \
  (IS_GRANTING(w) || claimant_list_version[c] > witness_list_version[w]) -> \
  if \
  :: claimant_list_version[c] > witness_list_version[w] -> adopt_new_list(w) \
  :: else -> skip \
  fi; \
  if :: IS_GRANTING(w) -> decide(c, w) :: else -> skip fi }

init {
  d_step {
    claimant_list_version[0] = 1;
    claimant_list_version[1] = 1;
    witness_list_version[0] = 1;
    witness_list_version[1] = 1;
    witness_list_version[2] = 1;
    witness_list_version[3] = 2;
    witness_list_version[4] = 2
  }

  do
  :: IS_FINISHED -> break
  :: else ->
    if
  :: d_step { true -> tick() }
  :: d_step { !is_new_list_published -> is_new_list_published = true }
  FOR_EACH_CLAIMANT(RECEIVE_COPY)
  FOR_EACH_CLAIMANT(FOLLOW_LIST)
  FOR_EACH_CLAIMANT(DECIDE_TO_RUN)
  FOR_EACH_CLAIMANT(DECIDE_TO_REFUSE)
  FOR_EACH_OLD_WITNESS(ADOPT_NEW_LIST)
  FOR_EACH_OLD_WITNESS(RESTART)
  FOR_EACH_OLD_WITNESS(RESTART_WITH_OLD_LIST)
  FOR_EACH_CLAIMANT_AND_WITNESS(HANDLE_CLAIM_REQUEST)
    fi
  od
}
