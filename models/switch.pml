/* Switch protocol of expert maps: Propose, Hold, Vote, with late, lost, doubled and reordered messages and restarts of sidecars.
 *
 * Sent messages stay in the network for ever: a message that is delivered twice, late, or never is the same to this model.
 * Invariant: in each step all ranks use one map. Progress: no end state in which a rank waits at its hold.
 * Mutations (one guard removed each): NO_READBACK, NO_STEP_CHECK, VOTE_TWICE, NOT_UNANIMOUS, PASS_HOLD, LOST_REFUSAL. */

#define N 3
#define H 2          /* hold step */
#define LAST 4       /* steps that are made in all */
#ifndef RESTARTS
#define RESTARTS 1   /* restarts in all */
#endif

#define NONE 0
#define ARMED 1
#define REFUSED 2

byte step[N];        /* next step of the ranks behind sidecar i */
bit map[N];          /* map from step H on: 0 the old one, 1 the new one */
bit held[N];         /* the engine keeps the hold, whatever happens to the sidecar */
bit armedSent[N];
bit refusedSent[N];
byte usedOld[LAST];  /* ranks that made the step on the old map */
byte usedNew[LAST];
byte restarts = 0;

inline makeStep(i)
{
    if
    :: map[i] == 1 && step[i] >= H -> usedNew[step[i]]++
    :: else -> usedOld[step[i]]++
    fi;
    assert(usedOld[step[i]] == 0 || usedNew[step[i]] == 0);
    step[i]++
}

#ifdef PASS_HOLD
#define mayPass(i) true
#else
#define mayPass(i) (!held[i] || step[i] < H)
#endif

#ifdef NO_STEP_CHECK
#define inTime(i) true
#else
#define inTime(i) (step[i] < H)
#endif

#ifdef VOTE_TWICE
#define sameProcess true
#else
#define sameProcess (!restarted)
#endif

#ifdef NOT_UNANIMOUS
#define enough(seen) (seen == 3 || seen == 5 || seen == 6 || seen == 7)
#else
#define enough(seen) (seen == 7)
#endif

/* Ranks make a step together: nobody is more than one step ahead. */
#define lockStep(i) (step[i] <= step[(i + 1) % N] && step[i] <= step[(i + 2) % N])

proctype Sidecar(byte i)
{
    bit loaded = 0;
    byte vote = NONE;
    byte armedSeen = 0;   /* bit set of members */
    bit refusedSeen = 0;
    bit closed = 0;       /* the outcome is known here */
    bit restarted = 0;
    byte j;

end:
    do
    /* Propose and the loading of its weights. */
    :: atomic { !loaded && vote == NONE -> loaded = 1 }

    /* Hold: the vote is final, and the hold is placed before the vote is sent. */
    :: atomic { vote == NONE && !closed ->
        if
        :: loaded && inTime(i) && sameProcess -> held[i] = 1; vote = ARMED; armedSent[i] = 1; armedSeen = armedSeen | (1 << i)
        :: else -> vote = REFUSED; refusedSent[i] = 1; refusedSeen = 1
        fi }

    /* Vote of another member. */
    :: atomic { vote != NONE && !closed ->
        select(j : 0 .. N - 1);
        if
        :: armedSent[j] -> armedSeen = armedSeen | (1 << j)
        :: refusedSent[j] -> refusedSeen = 1
        :: else -> skip
        fi }

    /* Outcome. */
    :: atomic { vote != NONE && !closed && refusedSeen ->
#ifndef LOST_REFUSAL
        held[i] = 0;
#endif
        closed = 1 }
    :: atomic { vote == ARMED && !closed && !refusedSeen && enough(armedSeen) -> map[i] = 1; held[i] = 0; closed = 1 }

    /* The ranks go on by themselves. */
    :: atomic { step[i] < LAST && mayPass(i) && lockStep(i) -> makeStep(i) }

    /* The sidecar's process restarts: the engine goes on and says what it holds. */
    :: atomic { restarts < RESTARTS ->
        restarts++; restarted = 1; loaded = 0; armedSeen = 0; refusedSeen = 0; vote = NONE;
        closed = map[i];
#ifndef NO_READBACK
        if
        :: held[i] -> loaded = 1; vote = ARMED; armedSeen = 1 << i
        :: else -> skip
        fi
#endif
        }
    od
}

/* Entered when nothing else can happen: every rank must have made all steps. */
active proctype Watch()
{
    timeout -> assert(step[0] == LAST && step[1] == LAST && step[2] == LAST)
}

init
{
    atomic { run Sidecar(0); run Sidecar(1); run Sidecar(2) }
}
