/* Claim protocol: one key, two entries that got a receipt of it each, two upstreams, one restart of each sidecar.
 *
 * The journal is one value with a revision. A reply of the store may be lost; attempts may arrive at any later time.
 * Invariant: the key runs at most once, and an entry that said "not run" is right about its receipt.
 * Mutations: NO_CAS, NO_READBACK, NO_REVOKE, NO_TOMBSTONE, NO_INCARNATION, RELEASE_UNKNOWN. */

#define NOBODY 0
/* Claim of entry e is e + 1; a released key is NOBODY again. */

#ifdef NO_CAS
#define casHolds true
#else
#define casHolds (revision == seenRevision)
#endif

byte journal = NOBODY;
byte revision = 0;
byte runs = 0;
byte runsOf[2];
bit notRun[2];

bit inNetwork[4];        /* attempt of entry e to upstream u at e * 2 + u has been sent and not arrived */
bit addressed[4];        /* incarnation to which it is addressed */
bit incarnation[2];      /* of the sidecars */
bit tombstone[4];        /* at sidecar u for the claim of entry e */
bit started[4];
bit restarted[2];

inline execute(e, u)
{
    runs++;
    runsOf[e]++;
    started[e * 2 + u] = 1;
    assert(runs <= 1);
    assert(!notRun[e])
}

proctype Sidecar(byte u)
{
    byte e;
end:
    do
    /* An attempt arrives, however late. */
    :: atomic { inNetwork[u] || inNetwork[2 + u] ->
        if
        :: inNetwork[u] -> e = 0
        :: inNetwork[2 + u] -> e = 1
        fi;
        inNetwork[e * 2 + u] = 0;
        if
#ifndef NO_INCARNATION
        :: addressed[e * 2 + u] != incarnation[u] -> skip
#endif
#ifndef NO_TOMBSTONE
        :: tombstone[e * 2 + u] -> skip
#endif
        :: else -> execute(e, u)
        fi }
    /* Its process restarts and forgets revocations. */
    :: atomic { !restarted[u] ->
        restarted[u] = 1; incarnation[u] = 1;
        tombstone[u] = 0; tombstone[2 + u] = 0; started[u] = 0; started[2 + u] = 0 }
    od
}

proctype Entry(byte e)
{
    byte seen;
    byte seenRevision;
    byte u = 0;
    bit known;

read:
    atomic { seen = journal; seenRevision = revision };
    if
    :: seen == e + 1 -> goto granted
    :: seen != NOBODY && seen != e + 1 -> goto duplicate
    :: else -> skip
    fi;
    /* The write takes effect or not, and its reply comes or not. */
    if
    :: atomic { casHolds -> journal = e + 1; revision++ };
        if
        :: goto granted
        :: skip          /* reply lost */
        fi
    :: skip              /* conflict, or lost on its way */
    fi;
#ifdef NO_READBACK
    /* Takes a lost reply for a failure and says so. */
    atomic { notRun[e] = 1; goto granted };
#endif
    if
    :: goto read
    :: goto refused      /* time is up: nothing runs under this claim, which may stand */
    fi;

refused:
    atomic { notRun[e] = 1;
        if
        :: journal == e + 1 -> journal = NOBODY; revision++   /* the release */
        :: else -> skip
        fi };
    goto done;

granted:
    atomic { known = incarnation[u]; inNetwork[e * 2 + u] = 1; addressed[e * 2 + u] = known };
    if
    :: goto done         /* answered, or unknown: nothing more is sent */
    :: skip              /* the connection broke */
    fi;
#ifndef NO_REVOKE
    if
    :: atomic { known == incarnation[u] && !started[e * 2 + u] -> tombstone[e * 2 + u] = 1 }
#ifdef RELEASE_UNKNOWN
    :: known != incarnation[u] -> skip
#else
    :: known != incarnation[u] -> goto done
#endif
    :: started[e * 2 + u] -> goto done
    fi;
#endif
    if
    :: u == 0 -> u = 1; goto granted
    :: goto refused
    fi;

duplicate:
    /* Waits for the owner, then reads again or gives up as unknown. */
    if
    :: goto read
    :: skip
    fi;
done:
    skip
}

init
{
    atomic { run Sidecar(0); run Sidecar(1); run Entry(0); run Entry(1) }
}
