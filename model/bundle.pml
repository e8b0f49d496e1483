/* Bundle acceptance and revoked keys (docs/design.md, section 7).
 *
 * Three instances with lease records, version 1 in force on all of them, and
 * version 2, which revokes a key. The store may be unavailable for any time.
 *
 * An instance is current for FRESH_TICKS after it sent the request of its last read
 * of the head, or while its heartbeat exchanges within FRESH_TICKS, counted with
 * itself, cover a majority. An exchange transfers the newer version before it
 * counts.
 *
 * Property: FRESH_TICKS after acceptance, no current instance honours version 1.
 * Before that, an instance may still be current because of an exchange that
 * preceded the acceptance.
 *
 * Broken variants, which the check must reject: ACCEPT_ALONE (acceptance without
 * the majority), FRESH_ALONE (freshness without the majority), START_COUNTS_SELF (a
 * starting instance counts itself among those that vouch for a bundle).
 */
#define INSTANCES 3
#define MAJORITY 2
#define FRESH_TICKS 2
#define RESTARTS 2

byte version[INSTANCES] = 1;    /* 0: starting, does not participate */
byte head_read_left[INSTANCES]; /* ticks for which the instance's read of the head counts */
byte exchange_left[9];          /* exchange_left[i * INSTANCES + j]: ticks for which
                                 * i's heartbeat exchange with j counts */
byte head = 1;
bit accepted;
byte settle_left;               /* ticks until the acceptance binds all instances */
byte restarts;

#define DECREMENT(x) x = (x > 0 -> x - 1 : 0)
#define EXCHANGED_RECENTLY(i, j) (i != j && exchange_left[(i) * INSTANCES + j] > 0)
#ifdef FRESH_ALONE
#define FRESH_BY_PEERS(i) true
#else
#define FRESH_BY_PEERS(i) (1 + EXCHANGED_RECENTLY(i, 0) + EXCHANGED_RECENTLY(i, 1) + EXCHANGED_RECENTLY(i, 2) >= MAJORITY)
#endif
#define IS_CURRENT(i) (version[i] > 0 && (head_read_left[i] > 0 || FRESH_BY_PEERS(i)))
#define COUNT_AT_NEW_VERSION ((version[0] == 2) + (version[1] == 2) + (version[2] == 2))

proctype Time() {
    byte i;
    do
    :: d_step {
        DECREMENT(settle_left);
        i = 0;
        do
        :: i < INSTANCES -> DECREMENT(head_read_left[i]); i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < 9 -> DECREMENT(exchange_left[i]); i++
        :: else -> break
        od;
        i = 0
       }
    od
}

proctype Publisher() {
    head = 2; /* compare-and-set on the head */
    atomic {
#ifndef ACCEPT_ALONE
        COUNT_AT_NEW_VERSION >= MAJORITY ->
#endif
        accepted = 1;
        settle_left = FRESH_TICKS
    }
}

proctype Instance(byte i) {
    byte j;
    do
    :: atomic { /* read the head and fetch the bundle */
        version[i] = head;
        head_read_left[i] = FRESH_TICKS
       }
    :: atomic { /* exchange heartbeats with j; both receive the newer version */
        if
        :: j = 0
        :: j = 1
        :: j = 2
        fi;
        if
        :: j != i && version[i] > 0 && version[j] > 0 ->
            version[i] = (version[j] > version[i] -> version[j] : version[i]);
            exchange_left[i * INSTANCES + j] = FRESH_TICKS;
            if
            :: version[j] = version[i]
            :: true /* the message to j is lost, so j does not receive the newer version */
            fi
        :: else
        fi;
        j = 0
       }
    :: atomic { restarts < RESTARTS -> /* restart without any state */
        restarts++;
        version[i] = 0;
        head_read_left[i] = 0;
        exchange_left[i * INSTANCES] = 0; exchange_left[i * INSTANCES + 1] = 0; exchange_left[i * INSTANCES + 2] = 0
       }
    :: atomic { version[i] == 0 -> /* start from the newest version that a majority vouches for */
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
            version[i] = (COUNT_AT_NEW_VERSION > 0 -> 2 : 1)
        :: else
        fi;
#endif
        j = 0
       }
    od
}

active proctype Monitor() {
    atomic {
        accepted && settle_left == 0 &&
            ((IS_CURRENT(0) && version[0] == 1) || (IS_CURRENT(1) && version[1] == 1) || (IS_CURRENT(2) && version[2] == 1)) ->
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
