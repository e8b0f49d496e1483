/* Bundle acceptance and revoked keys (docs/design.md, section 7).
 *
 * Three instances with lease records, version 1 in force everywhere, and
 * version 2, which revokes a key. The store may be out for any time. An
 * instance is current for F ticks after the request of its own read of the
 * head, or while it has exchanged heartbeats within F ticks with so many others
 * that they and itself are a majority. A heartbeat teaches the newer version
 * before it counts.
 *
 * Property: F ticks after acceptance, no instance that is current honours
 * version 1. (Within these F ticks an instance may still be current by an
 * exchange from before the acceptance.)
 *
 * Broken variants: ACCEPT_ALONE (acceptance without the majority),
 * FRESH_ALONE (freshness without the majority), START_COUNTS_SELF (a starting
 * instance counts itself among those that vouch for a bundle).
 */
#define N 3
#define MAJORITY 2
#define F 2
#define RESTARTS 2

byte version[N] = 1;  /* 0: starting, takes part in nothing */
byte headRead[N];     /* ticks left of the freshness by an own read */
byte heard[9];        /* heard[i * N + j]: ticks left of i's exchange with j */
byte head = 1;
bit accepted;
byte settle;          /* ticks left until the acceptance binds everyone */
byte restarts;

#define DEC(x) x = (x > 0 -> x - 1 : 0)
#define HEARD(i, j) (i != j && heard[(i) * N + j] > 0)
#ifdef FRESH_ALONE
#define BYPEERS(i) true
#else
#define BYPEERS(i) (1 + HEARD(i, 0) + HEARD(i, 1) + HEARD(i, 2) >= MAJORITY)
#endif
#define CURRENT(i) (version[i] > 0 && (headRead[i] > 0 || BYPEERS(i)))
#define INFORCE ((version[0] == 2) + (version[1] == 2) + (version[2] == 2))

proctype Time() {
    byte i;
    do
    :: d_step {
        DEC(settle);
        i = 0;
        do
        :: i < N -> DEC(headRead[i]); i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < 9 -> DEC(heard[i]); i++
        :: else -> break
        od;
        i = 0
       }
    od
}

proctype Publisher() {
    head = 2; /* the compare-and-set on the head */
    atomic {
#ifndef ACCEPT_ALONE
        INFORCE >= MAJORITY ->
#endif
        accepted = 1;
        settle = F
    }
}

proctype Instance(byte i) {
    byte j;
    do
    :: atomic { /* reads the head and fetches the bundle */
        version[i] = head;
        headRead[i] = F
       }
    :: atomic { /* exchanges heartbeats with j; both learn the newer version */
        if
        :: j = 0
        :: j = 1
        :: j = 2
        fi;
        if
        :: j != i && version[i] > 0 && version[j] > 0 ->
            version[i] = (version[j] > version[i] -> version[j] : version[i]);
            heard[i * N + j] = F;
            if
            :: version[j] = version[i]
            :: true /* j learns nothing from a lost request's answer */
            fi
        :: else
        fi;
        j = 0
       }
    :: atomic { restarts < RESTARTS -> /* restarts without any state */
        restarts++;
        version[i] = 0;
        headRead[i] = 0;
        heard[i * N] = 0; heard[i * N + 1] = 0; heard[i * N + 2] = 0
       }
    :: atomic { version[i] == 0 -> /* starts from the newest that a majority vouches for */
#ifdef START_COUNTS_SELF
        if
        :: j = 0
        :: j = 1
        :: j = 2
        fi;
        version[i] = version[j];
#else
        if
        :: (version[0] > 0) + (version[1] > 0) + (version[2] > 0) >= MAJORITY ->
            version[i] = (INFORCE > 0 -> 2 : 1)
        :: else
        fi;
#endif
        j = 0
       }
    od
}

active proctype Monitor() {
    atomic {
        accepted && settle == 0 &&
            ((CURRENT(0) && version[0] == 1) || (CURRENT(1) && version[1] == 1) || (CURRENT(2) && version[2] == 1)) ->
        assert(false)
    }
}

init {
    atomic {
        run Time();
        run Publisher();
        run Instance(0);
        run Instance(1);
        run Instance(2)
    }
}
