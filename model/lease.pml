/* Instance lease with witnesses, retirement and store (docs/design.md, section 6).
 *
 * One holder with one epoch, three witnesses, one reclaimer and the store
 * record with its renewal counter. Timers hold the ticks that are left, and
 * time may pass between any two steps, so every actor may be paused.
 *
 * A restarted witness has forgotten its promises and retirements. It keeps
 * quiet for L ticks, and the holder counts its promises only after the next
 * renewal in the store, which makes a removal on the old counter fail.
 *
 * Property: the units of a retired epoch are never in use, that is, the
 * holder's lease has ended once its record is removed.
 *
 * Broken variants: DEADLINE_FROM_ANSWER, NO_WAIT, RESTART_PROMISES,
 * RESTART_COUNTED (the holder counts a restarted witness at once).
 */
#define L 2
#define W 3
#define MAJORITY 2
#define RENEWALS 1
#define RESTARTS 1

byte lease;          /* ticks left of the holder's lease by its own deadline */
byte age;            /* ticks since the holder sent the request in flight */
byte promise[W];     /* ticks left of each promise */
bit retired[W];
byte quiet[W];       /* ticks until a restarted witness takes part */
byte known = 7;      /* bit i: the holder has renewed in the store since i started */
byte sent;           /* known at the time at which the renewal was sent */
bit removed;         /* the record is removed, its units are free */
byte counter;
byte watch;          /* ticks for which the reclaimer must see the record unchanged */
byte pause;          /* ticks for which the reclaimer must wait out promises */
byte restarts;

#define COUNT(bits) ((bits & 1) + ((bits >> 1) & 1) + ((bits >> 2) & 1))
#define DEC(x) x = (x > 0 -> x - 1 : 0)

proctype Time() {
    do
    :: d_step {
        DEC(lease); DEC(watch); DEC(pause);
        age = (age < L -> age + 1 : L);
        DEC(promise[0]); DEC(promise[1]); DEC(promise[2]);
        DEC(quiet[0]); DEC(quiet[1]); DEC(quiet[2])
       }
    od
}

/* extend sets the holder's deadline when the answers are in. */
inline extend() {
#ifdef DEADLINE_FROM_ANSWER
    lease = L
#else
    lease = (lease > L - age -> lease : L - age)
#endif
}

proctype Holder() {
    byte got, i;
    do
    :: atomic { age = 0; got = 0 } /* a round of heartbeats */
        do
        :: atomic {
            if
            :: i = 0
            :: i = 1
            :: i = 2
            fi;
            if
            :: !(got & (1 << i)) && quiet[i] == 0 && !retired[i] ->
                promise[i] = L;
                if
#ifdef RESTART_COUNTED
                :: got = got | (1 << i)
#else
                :: known & (1 << i) -> got = got | (1 << i)
#endif
                :: true /* the answer is lost, or does not count */
                fi
            :: else
            fi;
            i = 0
           }
        :: atomic { COUNT(got) >= MAJORITY -> extend(); break }
        :: break
        od;
        atomic { got = 0 }
    :: atomic { counter < RENEWALS -> age = 0; sent = 7 } /* renew in the store */
        if
        :: atomic { !removed -> counter++ }
            if
            :: atomic { extend(); known = known | sent; sent = 0 }
            :: sent = 0 /* the answer is lost */
            fi
        :: sent = 0
        fi
    od
}

proctype Restart() {
    byte i;
    do
    :: atomic { restarts < RESTARTS ->
        restarts++;
        if
        :: i = 0
        :: i = 1
        :: i = 2
        fi;
        promise[i] = 0;
        retired[i] = 0;
#ifndef RESTART_PROMISES
        quiet[i] = L;
#endif
        known = known & (7 - (1 << i));
        sent = sent & (7 - (1 << i));
        i = 0
       }
    od
}

proctype Reclaimer() {
    byte seen, got, i;
    do
    :: atomic { !removed -> seen = counter; watch = L }
        if
        :: atomic { watch == 0 && counter == seen -> got = 0; pause = 0 }
            do
            :: atomic {
                if
                :: i = 0
                :: i = 1
                :: i = 2
                fi;
                if
                :: !(got & (1 << i)) && quiet[i] == 0 ->
                    retired[i] = 1;
                    if
                    :: got = got | (1 << i);
#ifndef NO_WAIT
                        pause = (promise[i] > pause -> promise[i] : pause)
#endif
                    :: true /* the answer is lost */
                    fi
                :: else
                fi;
                i = 0
               }
            :: atomic { COUNT(got) >= MAJORITY && pause == 0 ->
                if
                :: counter == seen -> removed = 1
                :: else
                fi;
                break }
            :: break
            od
        :: true
        fi;
        atomic { seen = 0; got = 0; watch = 0; pause = 0 }
    od
}

active proctype Monitor() {
    atomic { removed && lease > 0 -> assert(false) }
}

init {
    atomic {
        run Time();
        run Holder();
        run Reclaimer();
        run Restart()
    }
}
