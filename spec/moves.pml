/*
 * Move of one bucket of one service to another target. The bucket is held first: from Prepare to
 * Release, all its packets are sent to the home, which decides by its flow records.
 *
 * Bounds: HOSTS entry hosts (host 0 is the home, the others are where packets arrive), one move
 * from target OLD to target NEW, one flow opened before or during the move and one opened after the
 * switch; every message may be lost or arrive late. A lease ends at any moment; the planner
 * assumes that it has ended only after it has. The planner may be lost and replaced once at any
 * moment; its successor knows only the steps that the hosts that answer have applied, and waits for
 * the leases of the others to end.
 *
 * Each host's state is the last step that it has applied: 0 none, 1 Prepare, 2 Switch, 3 Release.
 * Steps are applied in order, so a message whose step is not the next one is late or a repeat and
 * has no effect. The model lets a host apply the planner's next step at any moment or never, which
 * covers loss, delay and repetition.
 *
 * WRONG omits the wait for all hosts before Switch; spin then has to find a flow that reaches two
 * targets.
 */

#define HOSTS 3
#define NONE 0
#define OLD 1
#define NEW 2

byte step[HOSTS];       /* last step applied by each host */
bool leased[HOSTS];     /* the host holds a serving lease */
bool lease_assumed[HOSTS];  /* the planner assumes that the host holds a lease */
byte plan_step;         /* last step that the planner has added */
bool planner_up = true;
bool planner_replaced;  /* the planner has been lost once */

byte record[2];         /* target in the home's record of each flow */
byte target[2];         /* target that the first packet of each flow reached */
bool two_targets;       /* a flow has reached two targets */
bool bypassed;          /* unused: no step of the model sets it */

inline deliver(flow, to) {
    if
    :: to == NONE
    :: to != NONE && target[flow] == NONE -> target[flow] = to
    :: to != NONE && target[flow] != NONE ->
        two_targets = two_targets || target[flow] != to
    fi
}

/*
 * The home forwards by its record; without one, a first packet by the table, and a later packet to
 * the old target until Release.
 */
inline decide(flow, first) {
    if
    :: !leased[0]
    :: leased[0] && record[flow] != NONE -> deliver(flow, record[flow])
    :: leased[0] && record[flow] == NONE && first ->
        if
        :: step[0] < 2 -> record[flow] = OLD
        :: else -> record[flow] = NEW
        fi;
        deliver(flow, record[flow])
    :: leased[0] && record[flow] == NONE && !first && target[flow] != NONE ->
        if
        :: step[0] < 3 -> deliver(flow, OLD)
        :: else -> deliver(flow, NEW)
        fi
    :: else
    fi
}

/* A later packet of a flow arrives at a host that is not the home. */
inline forward(host, flow) {
    if
    :: !leased[host] -> decide(flow, false)
    :: leased[host] && step[host] == 0 -> deliver(flow, OLD)
    :: leased[host] && (step[host] == 1 || step[host] == 2) -> decide(flow, false)
    :: leased[host] && step[host] == 3 -> deliver(flow, NEW)
    fi
}

/* The flow ends at the home: its record is removed and none of its packets remains. */
inline end_flow(flow) {
    record[flow] = NONE;
    target[flow] = NONE
}

/* A caller's packets: SYNs, retransmitted SYNs and later packets arrive anywhere at any moment. */
proctype Caller(byte flow) {
    bool finished = false;
    do
    :: atomic { !finished -> decide(flow, true) }
    :: atomic { !finished && target[flow] != NONE -> forward(1, flow) }
    :: atomic { !finished && target[flow] != NONE -> forward(2, flow) }
    :: atomic { !finished -> end_flow(flow); finished = true }
    od
}

/* A host applies the next step whenever its message arrives, and loses its lease at any moment. */
proctype Host(byte host) {
    do
    :: atomic { step[host] < plan_step -> step[host]++ }
    :: atomic { leased[host] -> leased[host] = false }
    /* The planner renews the lease of a host only once it has applied every step. */
    :: atomic { planner_up && step[host] == plan_step -> leased[host] = true;
        lease_assumed[host] = true }
    /* The planner assumes that a lease has ended only after it has. */
    :: atomic { planner_up && !leased[host] && lease_assumed[host] -> lease_assumed[host] = false }
    od
}

#define acknowledged(host) (!lease_assumed[host] || step[host] >= 1)
#define all_acknowledged (acknowledged(0) && acknowledged(1) && acknowledged(2))
#define no_old_record (record[0] != OLD && record[1] != OLD)

proctype Planner() {
    do
    :: atomic { planner_up && plan_step == 0 -> plan_step = 1 }
#ifdef WRONG
    :: atomic { planner_up && plan_step == 1 -> plan_step = 2 }
#else
    :: atomic { planner_up && plan_step == 1 && all_acknowledged -> plan_step = 2 }
#endif
    /* After Switch, the home reports that no record differs from the table. */
    :: atomic { planner_up && plan_step == 2 && leased[0] && step[0] == 2 && no_old_record ->
        plan_step = 3 }
    :: atomic { planner_up && !planner_replaced -> planner_up = false; planner_replaced = true }
    /*
     * The successor knows the newest step among the hosts that answer. It assumes that all hosts
     * hold leases; a host that has not answered may be ahead only if its lease has ended.
     */
    :: atomic { !planner_up ->
        byte host = 0;
        byte newest = 0;
        do
        :: host < HOSTS ->
            if
            :: newest = (step[host] > newest -> step[host] : newest)
            :: !leased[host]
            fi;
            host++
        :: else -> break
        od;
        host = 0;
        do
        :: host < HOSTS ->
            lease_assumed[host] = true;
            /* A host ahead of the successor's plan starts over, without records and lease. */
            if
            :: step[host] > newest ->
                step[host] = newest;
                if
                :: host == 0 ->
                    /* Unplanned loss of the home: its flows end. */
                    record[0] = NONE; target[0] = NONE;
                    record[1] = NONE; target[1] = NONE
                :: else
                fi
            :: else
            fi;
            host++
        :: else -> break
        od;
        plan_step = newest;
        planner_up = true
    }
    od
}

init {
    byte host = 0;
    atomic {
        do
        :: host < HOSTS -> leased[host] = true; lease_assumed[host] = true; host++
        :: else -> break
        od;
        for (host : 0 .. HOSTS - 1) { run Host(host) }
        run Planner();
        run Caller(0);
        run Caller(1)
    }
}

/* A flow never reaches two targets. */
ltl one_target { [] !two_targets }

/* Once the bucket is released, the home has no record of a flow to the old target. */
ltl released_is_new { [] ((plan_step < 3) || (record[0] != OLD && record[1] != OLD)) }
