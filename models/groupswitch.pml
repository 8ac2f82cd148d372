/* Map changes of the gateways' controller on a live rank group: prepare, hold, arm, go; late orders, a controller that gives up and begins
 * again, a dead controller, its successor.
 *
 * Two ranks make passes in lock-step. Changes hold the pass at rank 0. Holds, arms and gos may be carried out late: they stay in the network
 * and may come at any time, a go twice. A late order is not checked against the fencing number, which is the weaker assumption. The first
 * controller may lose sight of a rank after any order, drop its change and clean up under the same fencing number, or stop anywhere. Its
 * successor reads the ranks' state at any time after it has got the lease, even while the first one still sends.
 * Invariant: a pass begins on one map. Progress: with a living controller the group is not left held.
 * Mutations (one guard removed each): NO_HOLD, GO_EARLY, NO_SEAL, NO_SEQUENCE, NO_FENCING, NO_CLAIM, CLAIM_HOLDING_RANK, GO_ANY_SEQUENCE,
 * ANY_SEQUENCE, KEEP_CLAIM, FORGET_ARMED. */

#define N 2
#define H 1          /* the held pass */
#define LAST 2
#define MAX_VERSION 16
#ifdef CLAIM_HOLDING_RANK
#define CLAIMED 0
#else
#define CLAIMED 1    /* rank at which a clean-up holds the pass */
#endif

byte pass = 0;       /* last pass that was begun */
byte version = 1;    /* next version that no rank has received */
bit held[N];         /* pass H waits for go at this rank */
byte map[N];         /* version in force */
byte prepared[N];
byte armed[N];       /* version that comes into force as pass H begins, 0: none */
byte sequence[N];    /* prepares that were accepted */
byte fence[N];       /* highest fencing number seen */
byte lateArm[N];     /* version of an arm that is still to come, 0: none */
byte lateArmSequence[N];
bit lateHold[N];
byte lateHoldSequence[N];
byte lateGo;         /* gos that are still to come at rank 0 */
byte lateGoSequence;

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
inline prepareRank(i, wanted, number)
{
    accepts(i, number);
    if
    :: ok && armed[i] == 0 && wanted > prepared[i] && wanted > map[i] -> prepared[i] = wanted; sequence[i]++
    :: else -> ok = 0
    fi
}

inline carryOutArm(i, wanted, atSequence)
{
    if
#ifdef NO_SEQUENCE
    :: prepared[i] >= wanted && pass < H -> armed[i] = wanted
#else
    :: prepared[i] == wanted && sequence[i] == atSequence && pass < H -> armed[i] = wanted
#endif
    :: else -> skip
    fi
}

inline carryOutHold(i, atSequence)
{
    if
    :: sequence[i] == atSequence && pass < H -> held[i] = 1
    :: else -> skip
    fi
}

inline carryOutGo(i, atSequence)
{
    if
#ifdef GO_ANY_SEQUENCE
    :: true -> held[i] = 0
#else
    :: sequence[i] == atSequence -> held[i] = 0
    :: else -> skip
#endif
    fi
}

/* Answered, or left in the network, from where it may come at once. */
inline armRank(i, wanted, number)
{
    known = 0;
    if
    :: accepts(i, number);
       if
       :: ok -> carryOutArm(i, wanted, wantedSequence[i]); known = (armed[i] == wanted)
       :: else -> skip
       fi
    :: lateArm[i] == 0 -> lateArm[i] = wanted; lateArmSequence[i] = wantedSequence[i]
    fi
}

inline holdRank(i, number)
{
    known = 0;
    if
    :: accepts(i, number);
       if
       :: ok -> carryOutHold(i, wantedSequence[i]); known = held[i]
       :: else -> skip
       fi
    :: lateHold[i] == 0 -> lateHold[i] = 1; lateHoldSequence[i] = wantedSequence[i]
    fi
}

/* A late go matters only at the rank where changes hold. */
inline releaseRank(i, number)
{
    known = 0;
    if
    :: accepts(i, number);
       if
       :: ok -> carryOutGo(i, wantedSequence[i]); known = !held[i]
       :: else -> skip
       fi
    :: i == 0 && lateGo == 0 -> lateGoSequence = wantedSequence[i]; lateGo = 1
    :: i == 0 && lateGo == 0 && number == 1 -> lateGoSequence = wantedSequence[i]; lateGo = 2
    fi
}

inline disarmRank(i, number)
{
    accepts(i, number);
    if
    :: ok -> armed[i] = 0
    :: else -> skip
    fi
}

/* A controller that begins again without end makes no progress either. */
inline newVersion(own)
{
    atomic { own = version; version++; assert(version <= MAX_VERSION) }
}

/* Takes back what was armed, makes late holds and arms void, and lets the group go. The first controller may stop or begin again in it. */
inline takeBack(number)
{
    i = 0;
#ifndef FORGET_ARMED
    do
    :: i < N -> atomic { disarmRank(i, number); ok = 0; i++ }
    :: i < N && number == 1 -> goto lost
    :: else -> break
    od;
#endif
#ifndef NO_SEAL
    i = 0;
    newVersion(seal);
    do
    :: i < N ->
        atomic {
            prepareRank(i, seal, number);
            if
            :: ok -> wantedSequence[i] = sequence[i]; i++
            :: !ok && fence[i] > number -> goto ended       /* superseded: nothing more is sent */
#ifdef FORGET_ARMED
            :: !ok && armed[i] != 0 && fence[i] <= number -> wantedSequence[i] = sequence[i]; i++
#else
            :: !ok && armed[i] != 0 && fence[i] <= number -> disarmRank(i, number)   /* a late arm has come */
#endif
            :: !ok && armed[i] == 0 && fence[i] <= number -> goto ended       /* another controller's prepare was accepted */
            fi
        }
    :: i < N && number == 1 -> goto lost
    :: else -> break
    od;
#endif
    i = 0;
    do
    :: i < N ->
        atomic {
#ifdef ANY_SEQUENCE
            wantedSequence[i] = sequence[i];
#endif
            releaseRank(i, number);
            if
            :: known -> i++
            :: !known && (fence[i] > number || sequence[i] != wantedSequence[i]) -> goto ended       /* superseded */
            :: else -> skip
            fi;
#ifdef KEEP_CLAIM
            i = N
#endif
        }
    :: i < N && number == 1 -> goto lost
    :: else -> break
    od
}

/* Nothing is taken back before the pass is held at a rank to which no controller has sent a go that is still on its way. */
inline claim(number)
{
#ifndef NO_CLAIM
    do
    :: pass < H ->
        atomic {
            wantedSequence[CLAIMED] = sequence[CLAIMED];
            holdRank(CLAIMED, number);
            if
            :: known || fence[CLAIMED] > number -> break
            :: else -> skip
            fi }
    :: pass >= H -> break
    :: number == 1 -> goto lost
    od
#else
    skip
#endif
}

/* One attempt at a change. */
inline change(number)
{
    all = 1;
    i = 0;
    newVersion(wanted);
    do
    :: i < N -> atomic { prepareRank(i, wanted, number); all = all && ok; wantedSequence[i] = sequence[i]; ok = 0; i++ }
    :: else -> break
    od;
    if
    :: !all -> goto ended       /* refused: nothing was armed */
    :: else -> skip
    fi;
#ifndef NO_HOLD
    atomic { holdRank(0, number); all = known; ok = 0; known = 0 };
#endif
    i = 0;
    do
    :: all && i < N ->
        atomic {
            armRank(i, wanted, number);
            if
            :: known -> i++
            :: !known && (pass >= H || fence[i] > number || sequence[i] != wantedSequence[i]) -> all = 0       /* refused */
            :: else -> skip
            fi;
            ok = 0; known = 0 }
    :: all && i < N && number == 1 -> goto lost
#ifdef GO_EARLY
    :: all && i < N -> i = N
#endif
    :: !all || i >= N -> break
    od;
    if
    :: !all -> takeBack(number); goto ended
    :: else -> skip
    fi;
    do
    :: atomic {
            releaseRank(0, number);
            if
            :: known || fence[0] > number -> break
            :: else -> skip
            fi }
    :: number == 1 -> goto lost
    od
}

proctype Group()
{
end:
    do
    :: atomic { pass < LAST && !((held[0] || held[1]) && pass + 1 == H) ->
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
    :: atomic { lateArm[i] != 0 -> carryOutArm(i, lateArm[i], lateArmSequence[i]); lateArm[i] = 0 }
    :: atomic { lateHold[i] -> carryOutHold(i, lateHoldSequence[i]); lateHold[i] = 0 }
    :: atomic { i == 0 && lateGo > 0 -> carryOutGo(0, lateGoSequence); lateGo-- }
    od
}

proctype First()
{
    bit ok; bit known; bit all; bit again; byte i; byte wanted; byte seal; byte wantedSequence[N];
attempt:
    if
    :: atomic { held[0] || held[1] -> skip }; claim(1); takeBack(1)
    :: atomic { !held[0] && !held[1] && armed[0] == 0 && armed[1] == 0 -> skip }; change(1)
    fi;
    goto ended;
lost:
    /* A rank was out of sight: the change is dropped. */
ended:
    atomic { ok = 0; known = 0; all = 0; i = 0; wanted = 0; seal = 0; wantedSequence[0] = 0; wantedSequence[1] = 0 };
    if
    :: !again -> again = 1; goto attempt
    :: true -> skip
    fi
}

proctype Successor()
{
    bit ok; bit known; bit all; bit changed; byte i; byte wanted; byte seal; byte wantedSequence[N];
attempt:
    do
    :: atomic { (held[0] || held[1]) && pass < H -> skip }; claim(2);
        if
        :: pass < H -> takeBack(2)
        :: else -> skip
        fi
    /* Nothing is left: it begins a change of its own. */
    :: atomic { !changed && !held[0] && !held[1] && armed[0] == 0 && armed[1] == 0 -> changed = 1 }; change(2)
    :: changed && pass >= H -> break
    od;
    goto done;
lost:
ended:
    atomic { ok = 0; known = 0; all = 0; i = 0; wanted = 0; seal = 0; wantedSequence[0] = 0; wantedSequence[1] = 0 };
    goto attempt;
done:
    skip
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
