/* What gateways believe of the fleet: the store's revisions decide, whichever way the news come.
 *
 * The operator writes configurations and takes a zone out and back. A gateway learns of them from its watch, from a reading of the store,
 * or from a peer's snapshot; readings and snapshots may arrive late, watches may be cut. A registration at an address is followed by another
 * one there while the first still stands in the store.
 * Invariants: within one process no belief goes back to an older revision; a request goes only to the newest registration known.
 * Progress: when nothing changes any more, both gateways know the last revision.
 * Mutations: NO_REVISION, ZONES_UNORDERED, OLD_REGISTRATION, NO_PEER_NEWS. */

#define CHANGES 3

byte revision = 1;           /* of the store */
byte config = 1;             /* revision at which it was written */
byte zoneOut = 0;
byte zoneChanged = 1;
byte holder = 1;             /* revision of the newest registration at the address */
byte known[2];               /* configuration revision in force by gateway */
byte knownZone[2];
byte knownZoneAt[2];
byte knownHolder[2];
bit cut[2];                  /* from the store, for good */

/* A snapshot on its way to gateway 1: taken at some moment, delivered at any later one. */
byte mailConfig = 0;
byte mailZone = 0;
byte mailZoneAt = 0;
byte mailHolder = 0;

inline applyConfig(g, value)
{
#ifdef NO_REVISION
    assert(value >= known[g]); known[g] = value
#else
    if
    :: value > known[g] -> known[g] = value
    :: else -> skip
    fi
#endif
}

inline applyZones(g, out, at)
{
#ifdef ZONES_UNORDERED
    assert(at >= knownZoneAt[g]); knownZone[g] = out; knownZoneAt[g] = at
#else
    if
    :: at >= knownZoneAt[g] -> knownZone[g] = out; knownZoneAt[g] = at
    :: else -> skip
    fi
#endif
}

/* A reading lists the old registration as well until its lease ends. */
inline applyHolder(g, value)
{
#ifdef OLD_REGISTRATION
    if
    :: knownHolder[g] = value
    :: value > 1 -> knownHolder[g] = value - 1
    fi;
#else
    if
    :: value > knownHolder[g] -> knownHolder[g] = value
    :: else -> skip
    fi;
#endif
    assert(knownHolder[g] <= holder);
    assert(knownHolder[g] >= seen[g]);
    seen[g] = knownHolder[g]
}

byte seen[2];                /* newest registration that the gateway has been told of */

proctype Operator()
{
    byte left = CHANGES;
end:
    do
    :: atomic { left > 0 -> left--; revision++;
        if
        :: config = revision
        :: zoneOut = 1 - zoneOut; zoneChanged = revision
        :: holder = revision
        fi }
    od
}

proctype Gateway(byte g)
{
end:
    do
    /* Watch or reading, answered at once. */
    :: atomic { !cut[g] && (known[g] != config || knownZoneAt[g] != zoneChanged || knownHolder[g] != holder) ->
        applyConfig(g, config); applyZones(g, zoneOut, zoneChanged); applyHolder(g, holder) }
    od
}

proctype Snapshots()
{
end:
    do
#ifdef NO_PEER_NEWS
    :: false -> skip
#else
    :: atomic { mailConfig == 0 && (known[0] > known[1] || knownZoneAt[0] > knownZoneAt[1] || knownHolder[0] > knownHolder[1]) ->
        mailConfig = known[0]; mailZone = knownZone[0]; mailZoneAt = knownZoneAt[0]; mailHolder = knownHolder[0] }
#endif
    :: atomic { mailConfig != 0 -> applyConfig(1, mailConfig); applyZones(1, mailZone, mailZoneAt); applyHolder(1, mailHolder); mailConfig = 0 }
    od
}

/* Gateway 1 may lose the store at any moment. */
proctype Cut()
{
    if
    :: cut[1] = 1
    :: skip
    fi
}

active proctype Watch()
{
    timeout -> assert(known[0] == config && known[1] == config && knownZone[1] == zoneOut && knownHolder[1] == holder)
}

init
{
    atomic { run Operator(); run Gateway(0); run Gateway(1); run Snapshots(); run Cut() }
}
