/* Control of the maps across eras of the store: gateways acquire, renew and confirm the lease and choose their fencing numbers, while the store comes back
 * from an older copy of itself at any time and gives out revisions and lease ids again. A gateway hears of a new era by the next answer that it reads.
 *
 * Invariants: no two terms have one number; no two gateways hold a lease that the store has confirmed in its current era. Progress: whoever acquires the
 * lease once the store is left alone gets a number that ranks accept, after a bounded number of refusals.
 * Mutations (one guard removed each): REVISION_AS_NUMBER, NO_ERA_REMAINDER, NO_CONDITION, ANY_ERA_ANSWER, BLIND_RENEWAL, NO_REFUSAL_STEP. */

#define GATEWAYS 2
#define ERAS_APART 4
#define RETURNS 2
#define TERMS 2          /* attempts of the first gateway, one more than of the second, without those refused after the last return */
#define WRITES 1         /* of others, of CHANGES each */
#define CHANGES 16
#define MAX_NUMBER 127
#define MAX_REFUSALS 2

#define NOBODY 0

byte era = 1;
byte revision = 1;
byte stored = 0;          /* number of the last term, in a key without a lease */
byte storedRevision = 0;
byte owner = NOBODY;      /* value of the controller's key: the gateway, counted from 1 */
byte ownerRevision = 0;
byte ownerLease = 0;
byte lastLease = 0;

byte copyRevision = 1;
byte copyStored = 0;
byte copyStoredRevision = 0;
byte copyOwner = NOBODY;
byte copyOwnerRevision = 0;
byte copyOwnerLease = 0;
byte copyLastLease = 0;

byte seen = 0;            /* highest number that the ranks have seen */
bit used[MAX_NUMBER];
byte termEra[GATEWAYS];   /* era in which the store has confirmed the lease; 0 without a term */
byte termLease[GATEWAYS];
byte returns = 0;

#define HELD(g) (termEra[g] == era)

inline checkHolders()
{
    assert(!(HELD(0) && HELD(1)))
}

/* The holder stops before its lease ends in the store, unless the store has begun a new era in the meantime. */
inline expire()
{
    if
    :: owner != NOBODY && termEra[owner - 1] == era && termLease[owner - 1] == ownerLease -> termEra[owner - 1] = 0
    :: else -> skip
    fi;
    owner = NOBODY; ownerRevision = 0; ownerLease = 0; revision++
}

proctype Store()
{
    byte writes = 0;
end:
    do
    :: atomic { returns < RETURNS ->
        copyRevision = revision; copyStored = stored; copyStoredRevision = storedRevision;
        copyOwner = owner; copyOwnerRevision = ownerRevision; copyOwnerLease = ownerLease; copyLastLease = lastLease }
    :: atomic { returns < RETURNS ->
        revision = copyRevision; stored = copyStored; storedRevision = copyStoredRevision;
        owner = copyOwner; ownerRevision = copyOwnerRevision; ownerLease = copyOwnerLease; lastLease = copyLastLease;
        era++; returns++ }
    :: atomic { writes < WRITES -> revision = revision + CHANGES; writes++ }
    :: atomic { owner != NOBODY -> expire() }
    od
}

/* Lowest number above all that is known and that belongs to the era of the read. */
inline chooseNumber()
{
    number = (stored > revision -> stored : revision);
    number = (highestOwn > number -> highestOwn : number) + 1;
#ifndef NO_REFUSAL_STEP
    number = number + (refusals > 0 -> ERAS_APART << refusals : 0);
#endif
#ifndef NO_ERA_REMAINDER
    do
    :: number % ERAS_APART != readEra % ERAS_APART -> number++
    :: else -> break
    od
#endif
}

inline begin()
{
    assert(number < MAX_NUMBER);
    assert(!used[number]);
    used[number] = 1;
    termEra[me] = era; termLease[me] = lease;
    highestOwn = number;
    checkHolders()
}

proctype Gateway(byte me)
{
    byte readEra; byte readStoredRevision; byte readOwnerRevision;
    byte number; byte lease; byte highestOwn; byte terms; byte refusals; bit matches;
end:
    do
    /* Acquires. */
    :: atomic { termEra[me] == 0 && terms < TERMS - me && (owner == NOBODY || owner == me + 1) ->
            terms++;
            readEra = era; readStoredRevision = storedRevision; readOwnerRevision = ownerRevision;
            chooseNumber() };
        atomic { lastLease++; lease = lastLease; matches = (era == readEra) };
        atomic {
#ifndef NO_CONDITION
            matches = (matches && ownerRevision == readOwnerRevision && storedRevision == readStoredRevision);
#endif
            if
            :: matches ->
                revision++;
                owner = me + 1; ownerRevision = revision; ownerLease = lease;
                stored = number; storedRevision = revision;
#ifdef REVISION_AS_NUMBER
                number = revision;
#endif
#ifndef ANY_ERA_ANSWER
                matches = (era == readEra);
#endif
                if
                :: matches -> begin()
                :: true -> skip       /* the reply is lost */
                fi
            :: else -> skip
            fi;
            readEra = 0; readStoredRevision = 0; readOwnerRevision = 0; lease = 0; number = 0; matches = 0 }
    /* Renews or confirms the lease, as one answer of the store. */
    :: atomic { termEra[me] != 0 && termEra[me] != era ->
            if
#ifdef BLIND_RENEWAL
            :: ownerLease == termLease[me] -> termEra[me] = era
#else
            :: owner == me + 1 && ownerLease == termLease[me] -> termEra[me] = era
#endif
            :: else -> termEra[me] = 0
            fi;
            checkHolders() }
    /* Sends an order, also in a term of an earlier era of which it has not heard. */
    :: atomic { termEra[me] != 0 ->
            if
            :: highestOwn < seen ->
                refusals++; termEra[me] = 0;
                assert(refusals <= MAX_REFUSALS);
                if
                :: returns == RETURNS -> terms--       /* tries again */
                :: else -> skip
                fi
            :: else -> seen = highestOwn; refusals = 0
            fi }
    od
}

init
{
    atomic { run Store(); run Gateway(0); run Gateway(1) }
}
