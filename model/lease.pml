/* Instance lease with witnesses, retirement and store (docs/design.md, section 6).
 *
 * One holder with one epoch, three witnesses, one reclaimer, and the holder's store
 * record with its renewal counter. Timers count the remaining ticks. Time may pass
 * between any two steps, so every process may be paused.
 *
 * A restarted witness has lost its promises and retirements. It does not respond
 * for LEASE_TICKS ticks. The holder counts its promises only after the next renewal
 * in the store, which makes a removal based on the old counter fail.
 *
 * Property: the units of a retired epoch are never in use, that is, the holder's
 * lease has ended once its record is removed.
 *
 * Broken variants, which the check must reject: DEADLINE_FROM_ANSWER (the lease
 * starts at the response instead of the request), NO_WAIT (the reclaimer does not
 * wait for promises to end), RESTART_PROMISES (a restarted witness responds at
 * once), RESTART_COUNTED (the holder counts a restarted witness at once).
 */
#define LEASE_TICKS 2
#define WITNESSES 3
#define MAJORITY 2
#define RENEWALS 1
#define RESTARTS 1

byte holder_lease;              /* ticks left of the lease by the holder's own deadline */
byte request_age;               /* ticks since the holder sent its current request */
byte promise_left[WITNESSES];   /* ticks left of each promise */
bit retired[WITNESSES];
byte restart_quiet[WITNESSES];  /* ticks until a restarted witness responds again */
byte renewed_since_restart = 7; /* bit i: the holder has renewed in the store since
                                 * witness i last started */
byte running_since_send;        /* bit i: witness i has not restarted since the renewal
                                 * in flight was sent */
bit removed;                    /* the record is removed and its units are free */
byte renewal_counter;
byte observe_wait;              /* ticks for which the reclaimer must see the record unchanged */
byte promise_wait;              /* ticks that the reclaimer must wait for promises to end */
byte restarts;

#define COUNT_BITS(bits) ((bits & 1) + ((bits >> 1) & 1) + ((bits >> 2) & 1))
#define DECREMENT(x) x = (x > 0 -> x - 1 : 0)

proctype Time() {
    do
    :: d_step {
        DECREMENT(holder_lease); DECREMENT(observe_wait); DECREMENT(promise_wait);
        request_age = (request_age < LEASE_TICKS -> request_age + 1 : LEASE_TICKS);
        DECREMENT(promise_left[0]); DECREMENT(promise_left[1]); DECREMENT(promise_left[2]);
        DECREMENT(restart_quiet[0]); DECREMENT(restart_quiet[1]); DECREMENT(restart_quiet[2])
       }
    od
}

/* extend extends the holder's lease when the responses have arrived. */
inline extend() {
#ifdef DEADLINE_FROM_ANSWER
    holder_lease = LEASE_TICKS
#else
    holder_lease = (holder_lease > LEASE_TICKS - request_age -> holder_lease : LEASE_TICKS - request_age)
#endif
}

proctype Holder() {
    byte answered, i;
    do
    :: atomic { request_age = 0; answered = 0 } /* a round of heartbeats */
        do
        :: atomic {
            if
            :: i = 0
            :: i = 1
            :: i = 2
            fi;
            if
            :: !(answered & (1 << i)) && restart_quiet[i] == 0 && !retired[i] ->
                promise_left[i] = LEASE_TICKS;
                if
#ifdef RESTART_COUNTED
                :: answered = answered | (1 << i)
#else
                :: renewed_since_restart & (1 << i) -> answered = answered | (1 << i)
#endif
                :: true /* the response is lost, or does not count */
                fi
            :: else
            fi;
            i = 0
           }
        :: atomic { COUNT_BITS(answered) >= MAJORITY -> extend(); break }
        :: break
        od;
        atomic { answered = 0 }
    :: atomic { renewal_counter < RENEWALS -> request_age = 0; running_since_send = 7 } /* renew in the store */
        if
        :: atomic { !removed -> renewal_counter++ }
            if
            :: atomic { extend(); renewed_since_restart = renewed_since_restart | running_since_send; running_since_send = 0 }
            :: running_since_send = 0 /* the response is lost */
            fi
        :: running_since_send = 0
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
        promise_left[i] = 0;
        retired[i] = 0;
#ifndef RESTART_PROMISES
        restart_quiet[i] = LEASE_TICKS;
#endif
        renewed_since_restart = renewed_since_restart & (7 - (1 << i));
        running_since_send = running_since_send & (7 - (1 << i));
        i = 0
       }
    od
}

proctype Reclaimer() {
    byte seen_counter, answered, i;
    do
    :: atomic { !removed -> seen_counter = renewal_counter; observe_wait = LEASE_TICKS }
        if
        :: atomic { observe_wait == 0 && renewal_counter == seen_counter -> answered = 0; promise_wait = 0 }
            do
            :: atomic {
                if
                :: i = 0
                :: i = 1
                :: i = 2
                fi;
                if
                :: !(answered & (1 << i)) && restart_quiet[i] == 0 ->
                    retired[i] = 1;
                    if
                    :: answered = answered | (1 << i);
#ifndef NO_WAIT
                        promise_wait = (promise_left[i] > promise_wait -> promise_left[i] : promise_wait)
#endif
                    :: true /* the response is lost */
                    fi
                :: else
                fi;
                i = 0
               }
            :: atomic { COUNT_BITS(answered) >= MAJORITY && promise_wait == 0 ->
                if
                :: renewal_counter == seen_counter -> removed = 1
                :: else
                fi;
                break }
            :: break
            od
        :: true
        fi;
        atomic { seen_counter = 0; answered = 0; observe_wait = 0; promise_wait = 0 }
    od
}

active proctype Monitor() {
    atomic { removed && holder_lease > 0 -> assert(false) }
}

init {
    atomic {
        run Time();
        run Holder();
        run Reclaimer();
        run Restart()
    }
}
