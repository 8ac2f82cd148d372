/* Map changes of the gateways' controller on a live rank group: prepare, hold, arm, go; late orders, a dead controller, its successor.
 *
 * Two ranks make passes in lock-step. Any arm may be carried out late: it stays in the network and may come at any time, once. The first
 * controller may stop anywhere. Its successor reads the ranks' state at any time after it has got the lease, even while the first one
 * still sends.
 * Invariant: a pass begins on one map. Progress: with a living controller the group is not left held.
 * Mutations (one guard removed each): NO_HOLD, GO_EARLY, NO_SEAL, NO_SEQUENCE, NO_FENCING, NO_CLAIM, FORGET_ARMED. */

#define N 2
#define H 2          /* the held pass */
#define LAST 4

byte pass = 0;       /* last pass that was begun */
bit held = 0;        /* pass H waits for go at rank 0 */
byte map[N];         /* version in force */
byte prepared[N];
byte armed[N];       /* version that comes into force as pass H begins, 0: none */
byte sequence[N];    /* prepares that were accepted */
byte fence[N];       /* highest fencing number seen */
byte lateArm[N];     /* version of an arm that is still to come, 0: none */
byte lateSequence[N];

inline accepts(i, number)
{
#ifdef NO_FENCING
    ok = 1;
#else
    ok = (number >= fence[i]);
    if
    :: ok -> fence[i] = number
    :: else -> skip
    fi
#endif
}

/* The rank has the copy at once; it is refused while the rank is armed. */
inline prepareRank(i, version, number)
{
    accepts(i, number);
    if
    :: ok && armed[i] == 0 && version > prepared[i] && version > map[i] -> prepared[i] = version; sequence[i]++
    :: else -> ok = 0
    fi
}

inline carryOutArm(i, version, wanted)
{
    if
#ifdef NO_SEQUENCE
    :: prepared[i] >= version && pass < H -> armed[i] = version
#else
    :: prepared[i] == version && sequence[i] == wanted && pass < H -> armed[i] = version
#endif
    :: else -> skip
    fi
}

/* Answered, carried out without an answer, or left in the network. */
inline armRank(i, version, number)
{
    known = 0;
    if
    :: accepts(i, number);
       if
       :: ok -> carryOutArm(i, version, wantedSequence[i]); known = (armed[i] == version)
       :: else -> skip
       fi
    :: accepts(i, number);
       if
       :: ok -> carryOutArm(i, version, wantedSequence[i])
       :: else -> skip
       fi
    :: lateArm[i] == 0 -> lateArm[i] = version; lateSequence[i] = wantedSequence[i]
    fi
}

/* Repeated until it is answered. */
inline disarmRank(i, number)
{
    accepts(i, number);
    if
    :: ok -> armed[i] = 0
    :: else -> skip
    fi
}

/* Takes back what was armed, makes late arms void, and lets the group go. */
inline giveUp(seal, number)
{
#ifndef FORGET_ARMED
    atomic { disarmRank(0, number) };
    atomic { disarmRank(1, number) };
#endif
#ifndef NO_SEAL
    i = 0;
    do
    :: i < N ->
        atomic {
            prepareRank(i, seal, number);
            if
            :: ok -> i++
            :: !ok && fence[i] > number -> i = N       /* superseded: nothing more is sent */
#ifdef FORGET_ARMED
            :: !ok && armed[i] != 0 && fence[i] <= number -> i++
#else
            :: !ok && armed[i] != 0 && fence[i] <= number -> disarmRank(i, number)   /* a late arm has come */
#endif
            :: !ok && armed[i] == 0 && fence[i] <= number -> i++       /* it has this version already */
            fi
        }
    :: else -> break
    od;
#endif
    atomic {
        accepts(0, number);
        if
        :: ok -> held = 0
        :: else -> skip
        fi
    }
}

proctype Group()
{
end:
    do
    :: atomic { pass < LAST && !(held && pass + 1 == H) ->
        pass++;
        if
        :: pass == H ->
            if
            :: armed[0] != 0 -> map[0] = armed[0]
            :: else -> skip
            fi;
            if
            :: armed[1] != 0 -> map[1] = armed[1]
            :: else -> skip
            fi;
            armed[0] = 0; armed[1] = 0
        :: else -> skip
        fi;
        assert(map[0] == map[1]) }
    od
}

proctype Late(byte i)
{
end:
    do
    :: atomic { lateArm[i] != 0 ->
        carryOutArm(i, lateArm[i], lateSequence[i]); lateArm[i] = 0 }
    od
}

proctype First()
{
    bit ok; bit known; bit all = 1; byte i = 0; byte wantedSequence[N];
    do
    :: i < N -> atomic { prepareRank(i, 1, 1); all = all && ok; wantedSequence[i] = sequence[i]; i++ }
    :: i < N -> goto stopped
    :: else -> break
    od;
    if
    :: !all -> goto ended       /* refused: nothing was armed */
    :: else -> skip
    fi;
#ifndef NO_HOLD
    atomic {
        accepts(0, 1);
        if
        :: ok && pass < H -> held = 1
        :: else -> all = 0
        fi };
#endif
    if
    :: !all -> goto ended
    :: else -> i = 0
    fi;
    do
    :: i < N -> atomic { armRank(i, 1, 1); all = all && known; i++ }
    :: i < N -> goto stopped
    :: else -> break
    od;
#ifdef GO_EARLY
    all = 1;
#endif
    if
    :: all -> atomic { accepts(0, 1); if :: ok -> held = 0 :: else -> skip fi }
    :: all -> goto stopped
    :: !all -> giveUp(2, 1)
    :: !all -> goto stopped
    fi;
ended:
    skip;
stopped:
    skip
}

proctype Successor()
{
    bit ok; bit all; byte i = 0;
    do
    :: atomic { held -> skip };
        /* Its hold stands from here on: a go of the first controller that is still on its way is refused. */
#ifndef NO_CLAIM
        atomic {
            accepts(0, 2);
            if
            :: pass < H -> held = 1
            :: else -> skip
            fi };
#endif
        if
        :: pass < H -> giveUp(3, 2)
        :: else -> skip
        fi;
        break
    /* Armed and not held: the ranks are about to switch. */
    :: atomic { !held && (armed[0] != 0 || armed[1] != 0) && pass >= H -> skip }
    /* Nothing is left: it begins a change of its own. */
    :: atomic { !held && armed[0] == 0 && armed[1] == 0 -> all = 1; i = 0 };
        do
        :: i < N -> atomic { prepareRank(i, 3, 2); all = all && ok; i++ }
        :: else -> break
        od;
        /* A hold that came meanwhile is seen by the passes that are missing. */
        if
        :: !held && (all || pass >= H) -> break
        :: else -> skip
        fi
    od
}

/* Entered when nothing else can happen. */
active proctype Watch()
{
    timeout -> assert(pass == LAST)
}

init
{
    atomic { run Group(); run Late(0); run Late(1); run First(); run Successor() }
}
