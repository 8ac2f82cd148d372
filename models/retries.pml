/* One caller attempt over several upstreams: it runs at most once unless its route says that it may run again, and 503 is a promise.
 *
 * An upstream may refuse with the word that it has not run the request, answer 503 without that word, break off before, while or after it
 * runs the request, or run it long after the gateway has turned away (a request that was sent stays in the network).
 * Mutations: RETRY_UNKNOWN, PROMISE_UNKNOWN, TRUST_503, NO_ATTEMPT_LIMIT. */

#define UPSTREAMS 3
#define MOST_ATTEMPTS 2

#define WAITING 0
#define SERVED 1
#define REFUSED 2    /* 503 with a time to come back */
#define FAILED 3     /* 502: promises nothing */

bit idempotent;
byte runs = 0;
byte sent = 0;               /* upstreams that it was handed to and that did not prove "not run" */
byte answer = WAITING;
byte inNetwork = 0;          /* sendings that may still be run */

proctype Network()
{
end:
    do
    :: atomic { inNetwork > 0 -> inNetwork--; runs++; assert(idempotent || runs <= 1); assert(answer != REFUSED) }
    :: atomic { inNetwork > 0 -> inNetwork-- }
    od
}

proctype Gateway()
{
    byte tried = 0;
    byte attempts = 0;
    bit mayHaveRun = 0;
    bit mayRepeat;
    do
    :: answer == WAITING ->
        if
        :: tried == UPSTREAMS -> break
#ifndef NO_ATTEMPT_LIMIT
        :: attempts == MOST_ATTEMPTS -> break
#endif
        :: else ->
            tried++;
            mayRepeat = 0;
            if
            /* No connection: nothing has left. */
            :: mayRepeat = 1
            /* It says that it has not run the request: 421, 429 or 503 with the word. */
            :: attempts++; mayRepeat = 1
            /* 503 without the word: it has run it. */
            :: atomic { attempts++; sent++; runs++; assert(idempotent || runs <= 1) };
#ifdef TRUST_503
               mayRepeat = 1
#else
               mayHaveRun = 1; mayRepeat = idempotent
#endif
            /* It runs the request and the answer is lost. */
            :: atomic { attempts++; sent++; runs++; assert(idempotent || runs <= 1) }; mayHaveRun = 1; mayRepeat = idempotent
            /* Silence: it may run it later. */
            :: atomic { attempts++; sent++; inNetwork++ }; mayHaveRun = 1; mayRepeat = idempotent
            /* Served. */
            :: atomic { attempts++; sent++; runs++; assert(idempotent || runs <= 1); answer = SERVED }
            fi;
            assert(sent <= MOST_ATTEMPTS);
#ifdef RETRY_UNKNOWN
            mayRepeat = 1;
#endif
            if
            :: answer == WAITING && !mayRepeat -> break
            :: else -> skip
            fi
        fi
    :: else -> break
    od;
    atomic {
        if
        :: answer == SERVED -> skip
#ifdef PROMISE_UNKNOWN
        :: answer == WAITING -> answer = REFUSED
#else
        :: answer == WAITING && !mayHaveRun -> answer = REFUSED
        :: answer == WAITING && mayHaveRun -> answer = FAILED
#endif
        fi;
        assert(answer != REFUSED || runs == 0) }
}

init
{
    if
    :: idempotent = 0
    :: idempotent = 1
    fi;
    atomic { run Network(); run Gateway() }
}
