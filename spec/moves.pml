/*
 * Moves of one bucket of one service: held before it is moved.
 *
 * Bounds: HOSTS entry hosts (host 0 is the home, the others are where packets land), one move from
 * target OLD to target NEW, one flow opened before or during the move and one opened after the
 * switch, and every message may be lost or arrive late. A lease ends at any moment, but before the
 * planner takes it for ended. The planner may be lost and replaced once at any moment; its successor
 * knows only what the hosts that answer have applied, and waits for the leases of the others.
 *
 * Each host's state is the last step that it has applied: 0 none, 1 Prepare, 2 Switch, 3 Release.
 * Steps are applied in order, so a late or repeated message is one whose step is not the next; the
 * model lets a host apply the planner's next step at any moment, or never, which covers loss, delay
 * and repetition.
 *
 * WRONG leaves out the wait for all hosts before Switch; spin then has to find a flow that reaches
 * two targets.
 */

#define HOSTS 3
#define NONE 0
#define OLD 1
#define NEW 2

byte step[HOSTS];       /* last step applied by each host */
bool leased[HOSTS];     /* the host may act */
bool lease_assumed[HOSTS];    /* the planner counts on the host's lease */
byte plan_step;           /* last step that the planner has added */
bool planner_up = true;
bool planner_replaced;          /* the planner has been lost once */

byte record[2];         /* the home's records of the two flows */
byte target[2];         /* where the first packet of each flow went */
bool two_targets;       /* a flow has reached two targets */
bool bypassed;          /* a packet was forwarded by a host without a lease */

inline deliver(flow, to) {
    if
    :: to == NONE
    :: to != NONE && target[flow] == NONE -> target[flow] = to
    :: to != NONE && target[flow] != NONE ->
        two_targets = two_targets || target[flow] != to
    fi
}

/* The home decides: the record, else the table for a first packet, else the old target. */
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

/* A packet in mid-flow at a host that is not the home. */
inline forward(host, flow) {
    if
    :: !leased[host] -> decide(flow, false)
    :: leased[host] && step[host] == 0 -> deliver(flow, OLD)
    :: leased[host] && (step[host] == 1 || step[host] == 2) -> decide(flow, false)
    :: leased[host] && step[host] == 3 -> deliver(flow, NEW)
    fi
}

/* The flow ends at the home: its record and its packets are gone. */
inline end_flow(flow) {
    record[flow] = NONE;
    target[flow] = NONE
}

/* A caller's packets: SYNs, repeated SYNs and packets in mid-flow land anywhere at any moment. */
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
    /* Only a host that has applied every step gets its lease back, and the planner counts on it. */
    :: atomic { planner_up && step[host] == plan_step -> leased[host] = true; lease_assumed[host] = true }
    /* The planner takes a lease for ended only after it has ended. */
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
    /* The home reports, at the step Switch, that no record differs from the table. */
    :: atomic { planner_up && plan_step == 2 && leased[0] && step[0] == 2 && no_old_record -> plan_step = 3 }
    :: atomic { planner_up && !planner_replaced -> planner_up = false; planner_replaced = true }
    /*
     * The successor knows the newest step among the hosts that answer. It counts on the leases of
     * all hosts, and a host that has not answered may be ahead only when its lease has ended.
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
            /* A host ahead of the successor's plan starts anew, without records and lease. */
            if
            :: step[host] > newest ->
                step[host] = newest;
                if
                :: host == 0 ->
                    /* An unplanned loss of the home: its flows end. */
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

/* A flow reaches one target only. */
ltl one_target { [] !two_targets }

/* A home that has no old flow left and a bucket that is released agree on the target. */
ltl released_is_new { [] ((plan_step < 3) || (record[0] != OLD && record[1] != OLD)) }
