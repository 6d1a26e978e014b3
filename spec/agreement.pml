/*
 * Consensus on the replicated log with lost disks and replaced hosts.
 *
 * Three hosts; lagoongauge/src/replica is reduced to what decides whether a committed entry can be
 * lost:
 *
 * - An identity is a host with one incarnation of its disk. Identity h in 0..2 is host h with its
 *   first disk, h + 3 the same host with its second one, which is empty and has granted no vote.
 * - An identity that votes in its own latest configuration becomes a candidate in a term new to it,
 *   and becomes leader with the votes of a majority of that configuration. Any identity grants one
 *   vote a term, and only to a candidate whose log is at least as up to date as its own.
 * - A leader appends entries. Others replicate its whole log if they have seen no later term.
 *   Entries are committed once a majority of the leader's configuration has replicated a log that
 *   ends in an entry of the leader's own term.
 * - An entry may change the configuration, which is effective once appended: a lost identity is
 *   removed, or an identity that has replicated the leader's whole log becomes a voter once the
 *   host's former identity is no longer one. A leader appends a change only when its whole log is
 *   committed and ends in its own term.
 *
 * A request and its response are one step, which may come in any order with all others or never; so
 * lost, late and reordered messages and silent network partitions are steps that are late or never
 * taken. A durable write is part of its step, as nothing is sent before it is synced. A vote or an
 * acknowledgement counts even if its sender's disk was lost since. Leases and clocks are not part
 * of the model.
 *
 * Properties, as assertions: one leader a term; a leader holds all committed entries when it is
 * elected; committed entries are never replaced by others.
 *
 * -DREACH: asserts that no replaced host is ever elected after the loss of a second disk. This has
 * to be violated; otherwise the bounds are too narrow to cover such an election.
 * -DWRONG: a host that lost its disk continues under its former identity.
 */

#ifndef TERMS
#define TERMS 3                 /* highest term that may be reached */
#endif
#ifndef LENGTH
#define LENGTH 3                /* maximum number of entries in a log */
#endif
#ifndef LOSSES
#define LOSSES 2                /* maximum number of disk losses */
#endif

#define HOSTS 3
#define IDS 6
#define NO_VOTE 255
#define INITIAL_CONFIG 7        /* identities 0, 1 and 2 */

#define BIT(id) (1 << (id))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) \
    + (((set) >> 3) & 1) + (((set) >> 4) & 1) + (((set) >> 5) & 1))
#define MAJORITY(subset, set) (2 * COUNT((subset) & (set)) > COUNT(set))

typedef Log {
    byte term[LENGTH];
    byte voters[LENGTH];        /* the configuration from this entry on */
    byte size
};

typedef Identity {
    bool alive;                 /* its disk exists */
    byte term;                  /* latest term that it has seen */
    byte vote;                  /* candidate that it voted for in that term */
    byte voters;                /* configuration of its last entry */
    byte last;                  /* term of its last entry */
    bool is_leader;             /* it is the leader of its term */
    byte granted;               /* identities that voted for it in its term */
    byte replicated;            /* identities that have replicated its whole log in its term */
    bool committed              /* its whole log is committed */
};

Identity id[IDS];
Log log[IDS];
Log truth;                      /* all committed entries */
byte commit_term[LENGTH];       /* term of the leader that committed the entry */
byte winner[TERMS + 1];
byte losses;
bool election_started;          /* an identity has become a candidate */

#define IS_CANDIDATE(c) (id[c].alive && id[c].vote == c && !id[c].is_leader && id[c].granted != 0)
#define LOG_UP_TO_DATE(c, v) (id[c].last > id[v].last \
    || (id[c].last == id[v].last && log[c].size >= log[v].size))

inline step_down(me) {
    id[me].is_leader = false;
    id[me].granted = 0;
    id[me].replicated = 0;
    id[me].committed = false
}

inline reset(me, set) {
    i = 0;
    do
    :: i < LENGTH ->
        log[me].term[i] = 0;
        log[me].voters[i] = 0;
        i++
    :: else -> break
    od;
    i = 0;
    log[me].size = 0;
    id[me].alive = true;
    id[me].term = 0;
    id[me].vote = NO_VOTE;
    id[me].voters = set;
    id[me].last = 0;
    step_down(me)
}

inline append(me, set) {
    log[me].term[log[me].size] = id[me].term;
    log[me].voters[log[me].size] = set;
    log[me].size++;
    id[me].voters = set;
    id[me].last = id[me].term;
    id[me].replicated = BIT(me);
    id[me].committed = false
}

inline copy(from, to) {
    i = 0;
    do
    :: i < LENGTH ->
        log[to].term[i] = log[from].term[i];
        log[to].voters[i] = log[from].voters[i];
        i++
    :: else -> break
    od;
    i = 0;
    log[to].size = log[from].size;
    id[to].voters = id[from].voters;
    id[to].last = id[from].last
}

/* Asserts that the log of `me` agrees with the committed entries. */
inline check_consistent(me) {
    i = 0;
    do
    :: i < truth.size && i < log[me].size ->
        assert(log[me].term[i] == truth.term[i]);
        assert(log[me].voters[i] == truth.voters[i]);
        i++
    :: else -> break
    od;
    i = 0
}

/* Asserts that the log of `me` holds all entries committed in earlier terms. */
inline check_complete(me) {
    i = 0;
    do
    :: i < truth.size ->
        assert(commit_term[i] >= id[me].term ||
            (i < log[me].size && log[me].term[i] == truth.term[i]));
        i++
    :: else -> break
    od;
    i = 0
}

inline commit(me) {
    check_consistent(me);
    i = truth.size;
    do
    :: i < log[me].size ->
        truth.term[i] = log[me].term[i];
        truth.voters[i] = log[me].voters[i];
        commit_term[i] = id[me].term;
        i++
    :: else -> break
    od;
    i = 0;
    truth.size = (log[me].size > truth.size -> log[me].size : truth.size);
    id[me].committed = true
}

/* `me` grants its vote to c. */
#define GRANT(c) \
    :: d_step { me != c && id[me].alive && IS_CANDIDATE(c) && LOG_UP_TO_DATE(c, me) \
        && (id[me].term < id[c].term || (id[me].term == id[c].term && id[me].vote == NO_VOTE)) -> \
        step_down(me); \
        id[me].term = id[c].term; \
        id[me].vote = c; \
        id[c].granted = id[c].granted | BIT(me) }

/* `me` replicates the log of the leader l. */
#define REPLICATE(l) \
    :: d_step { me != l && id[me].alive && id[l].alive && id[l].is_leader \
        && id[me].term <= id[l].term && !(id[l].replicated & BIT(me)) -> \
        step_down(me); \
        if \
        :: id[me].term < id[l].term -> id[me].term = id[l].term; id[me].vote = NO_VOTE \
        :: else -> skip \
        fi; \
        copy(l, me); \
        id[l].replicated = id[l].replicated | BIT(me) }

#define CAN_CHANGE_CONFIG (id[me].alive && id[me].is_leader && id[me].committed \
    && log[me].size < LENGTH)

/* The leader `me` removes the lost identity r. */
#define REMOVE(r) \
    :: d_step { CAN_CHANGE_CONFIG && !id[r].alive && (id[me].voters & BIT(r)) -> \
        append(me, id[me].voters & ~BIT(r)) }

/* The leader `me` makes n, the second identity of its host, a voter. */
#define PROMOTE(n) \
    :: d_step { CAN_CHANGE_CONFIG && id[n].alive && (id[me].replicated & BIT(n)) \
        && !(id[me].voters & BIT(n)) && !(id[me].voters & BIT(n - HOSTS)) -> \
        append(me, id[me].voters | BIT(n)) }

active [IDS] proctype identity() {
    byte me = _pid;
    byte i = 0;

    d_step {
        id[me].vote = NO_VOTE;
        if
        :: me < HOSTS -> id[me].alive = true; id[me].voters = INITIAL_CONFIG
        :: else -> skip
        fi
    }

end:
    do
    /*
     * Becomes a candidate in the next term. The hosts are symmetric, so the first candidate is
     * always identity 0, which reduces the number of states.
     */
    :: d_step { id[me].alive && (id[me].voters & BIT(me)) && id[me].term < TERMS &&
        (election_started || me == 0) ->
        election_started = true;
        step_down(me);
        id[me].term++;
        id[me].vote = me;
        id[me].granted = BIT(me) }

    /* Wins the election and becomes leader. */
    :: d_step { IS_CANDIDATE(me) && MAJORITY(id[me].granted, id[me].voters) ->
        assert(winner[id[me].term] == 0 || winner[id[me].term] == me + 1);
        winner[id[me].term] = me + 1;
        check_complete(me);
#ifdef REACH
        assert(me < HOSTS || losses < 2 || truth.size < LENGTH);
#endif
        id[me].is_leader = true;
        id[me].granted = 0;
        id[me].replicated = BIT(me) }

    /* Appends an operator's change. */
    :: d_step { id[me].alive && id[me].is_leader && log[me].size < LENGTH ->
        append(me, id[me].voters) }

    /* Commits its log, which a majority has replicated. */
    :: d_step { id[me].alive && id[me].is_leader && !id[me].committed &&
        id[me].last == id[me].term && MAJORITY(id[me].replicated, id[me].voters) ->
        commit(me) }

    /* The disk is lost. */
    :: d_step { me < HOSTS && id[me].alive && losses < LOSSES ->
        losses++;
#ifdef WRONG
        reset(me, INITIAL_CONFIG)
#else
        reset(me, 0);
        id[me].alive = false;
        reset(me + HOSTS, 0)
#endif
       }

    GRANT(0) GRANT(1) GRANT(2) GRANT(3) GRANT(4) GRANT(5)
    REPLICATE(0) REPLICATE(1) REPLICATE(2) REPLICATE(3) REPLICATE(4) REPLICATE(5)
    REMOVE(0) REMOVE(1) REMOVE(2)
    PROMOTE(3) PROMOTE(4) PROMOTE(5)
    od
}
