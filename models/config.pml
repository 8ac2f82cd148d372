/* Configuration revisions: two operators, a store with lost replies and outages, two nodes that hear of revisions late,
 * doubled and out of order, one restart.
 *
 * Invariants: a node never goes back to an older revision; a change that was reported as accepted stays in the history; of two
 * operators who started from the same text one wins.
 * Mutations: NO_FORWARD, NO_CAS, NO_HISTORY, STORE_ONLY. */

#define NODES 2

#ifdef NO_CAS
#define casHolds true
#else
#define casHolds (revision == base)
#endif

byte revision = 0;          /* of the store */
byte accepted = 0;          /* bit set of operators whose change stands in the history */
byte reported = 0;          /* bit set of operators who were told that their change was accepted */
byte known[NODES];          /* revision in force on the node */
bit offered[8];             /* some node has offered this revision to the others */
bit down = 0;
byte outages = 0;
byte wins = 0;              /* changes made from the first text */

proctype Operator(byte o)
{
    byte base;
    base = revision;
    if
    :: atomic { !down && casHolds ->
#ifdef NO_CAS
        accepted = 1 << o;      /* the other's history is overwritten */
#else
        accepted = accepted | (1 << o);
#endif
        revision++;
        if
        :: base == 0 -> wins++
        :: else -> skip
        fi };
        if
        :: reported = reported | (1 << o)
        :: skip;                /* the reply is lost: read back; the mutation reports a failure */
#ifdef NO_HISTORY
#else
           !down;
           if
           :: accepted & (1 << o) -> reported = reported | (1 << o)
           :: else -> skip
           fi
#endif
        fi
    :: skip                     /* conflict or outage: told so */
    fi;
    assert(wins <= 1);
    assert((reported & accepted) == reported);
#ifdef NO_HISTORY
    assert((accepted & (1 << o)) == 0 || (reported & (1 << o)) != 0)
#endif
}

proctype Node(byte n)
{
    byte r;
    byte before;
    bit restarted = 0;
end:
    do
    /* From the store or from a member, however old. */
    :: atomic { !down && revision > 0 -> r = revision; goto apply }
    :: atomic {
        select(r : 1 .. 2);
        if
        :: offered[r] -> goto apply
        :: else -> skip
        fi }
    :: atomic { !restarted && known[n] > 0 ->
        restarted = 1;
        before = known[n];
        /* A starting node asks the store and the members and takes the highest. */
#ifdef STORE_ONLY
        known[n] = (down -> 0 : revision);
#else
        known[n] = (down -> 0 : revision);
        if
        :: offered[2] && known[n] < 2 -> known[n] = 2
        :: !offered[2] && offered[1] && known[n] < 1 -> known[n] = 1
        :: else -> skip
        fi;
#endif
        assert(known[n] >= before) }
    od;
apply:
    atomic {
#ifdef NO_FORWARD
        before = known[n];
        known[n] = r;
        assert(known[n] >= before);
#else
        if
        :: r > known[n] -> known[n] = r
        :: else -> skip
        fi;
#endif
        offered[known[n]] = 1;
        goto end }
}

proctype Platform()
{
    do
    :: atomic { outages < 1 -> outages++; down = 1 }; down = 0
    :: outages == 1 -> break
    od
}

init
{
    atomic { run Operator(0); run Operator(1); run Node(0); run Node(1); run Platform() }
}
