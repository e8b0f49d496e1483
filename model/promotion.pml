/* Promotion with fencing and acknowledgement (docs/design.md, sections 3 and 4).
 *
 * Three members, two promoters, terms 1 to TERMS, WRITES writes. Every step may
 * be delayed for ever, which stands for lost messages, partitions, pauses and
 * crashes. An entry is named by its term and index.
 *
 * Properties: an acknowledged write is in the log of every later primary, and
 * none is acknowledged that a later primary lacks; one primary per term.
 *
 * Broken variants: NO_FENCE, CONFIRM_SHORT, FENCE_SHORT, BARE_INDEX, SAME_OWNER
 * (a restarted process uses the owner identity of its predecessor).
 */
#define MEMBERS 3
#define MAJORITY 2
#ifndef TERMS
#define TERMS 3
#endif
#ifndef WRITES
#define WRITES 2
#endif
#define LEN 5 /* at least WRITES + TERMS - 1 */

#ifdef FENCE_SHORT
#define FENCED (MAJORITY - 1)
#else
#define FENCED MAJORITY
#endif

#ifdef SAME_OWNER
#define OWNER(me) 1
#else
#define OWNER(me) (me + 1)
#endif
#define GRANTS(m, t, me) (promised[m] < t || (promised[m] == t && owner[m] == OWNER(me)))

byte promised[MEMBERS] = 1;
byte owner[MEMBERS];          /* 0 is the owner of term 1 */
byte current[MEMBERS] = 1;
bit primary[MEMBERS];
byte size[MEMBERS];
byte log[15];                 /* log[m * LEN + i] is the term of entry i */

byte wterm[WRITES];           /* 0: not written yet */
byte windex[WRITES];
bit wacked[WRITES];
bit wlost[WRITES];            /* a later primary lacks the write */
bit started;
byte leader[4];               /* member + 1 that leads the term */

#define LOGTERM(m) (size[m] == 0 -> 0 : log[(m) * LEN + size[m] - 1])
#define LEADS(m) (primary[m] && promised[m] == current[m])
#define CONFIRMS(m, w) (promised[m] == wterm[w] && current[m] == wterm[w] && \
    LOGTERM(m) == wterm[w] && size[m] > windex[w])
#define COUNT(bits) ((bits & 1) + ((bits >> 1) & 1) + ((bits >> 2) & 1))

inline append(m) {
    log[m * LEN + size[m]] = current[m];
    size[m]++
}

/* push copies the first entry on which the logs of p and m differ. */
inline push(p, m) {
    d_step {
        promised[m] = current[p];
        owner[m] = owner[p];
        current[m] = current[p];
        primary[m] = 0;
        k = 0;
        do
        :: k < size[p] && k < size[m] && log[p * LEN + k] == log[m * LEN + k] -> k++
        :: else -> break
        od;
        if
        :: k < size[p] ->
            log[m * LEN + k] = log[p * LEN + k];
            j = k + 1;
            do
            :: j < size[m] -> log[m * LEN + j] = 0; j++
            :: else -> break
            od;
            size[m] = k + 1
        :: else
        fi;
        k = 0; j = 0
    }
}

inline promote(m, t, me) {
    d_step {
        promised[m] = t;
        owner[m] = OWNER(me);
        current[m] = t;
        primary[m] = 1;
        assert(leader[t] == 0 || leader[t] == m + 1);
        leader[t] = m + 1;
        w = 0;
        do
        :: w < WRITES ->
            if
            :: wterm[w] != 0 && wterm[w] < t && !(size[m] > windex[w] && log[m * LEN + windex[w]] == wterm[w]) ->
                assert(!wacked[w]);
                wlost[w] = 1
            :: else
            fi;
            w++
        :: else -> break
        od;
        w = 0;
        append(m)
    }
}

proctype Replication() {
    byte p, m, k, j;
    do
    :: atomic {
        if
        :: p = 0
        :: p = 1
        :: p = 2
        fi;
        LEADS(p);
        if
        :: m = 0
        :: m = 1
        :: m = 2
        fi;
        if
        :: p != m && promised[m] <= current[p] -> push(p, m)
        :: else
        fi;
        p = 0; m = 0
       }
    od
}

proctype Client(byte w) {
    byte m;
    atomic {
        /* Writes are alike: they are made in order. */
        (w == 0 || wterm[w - 1] != 0);
        if
        :: LEADS(0) -> m = 0
        :: LEADS(1) -> m = 1
        :: LEADS(2) -> m = 2
        fi;
        wterm[w] = current[m];
        windex[w] = size[m];
        append(m)
    }
    /* The primary confirmed when it wrote. Confirmations that come later than
     * necessary only delay the acknowledgement. */
    atomic {
#ifndef CONFIRM_SHORT
        (m != 0 && CONFIRMS(0, w)) || (m != 1 && CONFIRMS(1, w)) || (m != 2 && CONFIRMS(2, w));
#endif
        assert(!wlost[w]);
        wacked[w] = 1;
        m = 0
    }
}

/* better: member m is at least as advanced as member b, by the rows at the fence. */
#ifdef BARE_INDEX
#define BETTER(m, b) (flen[m] >= flen[b])
#else
#define BETTER(m, b) (fterm[m] > fterm[b] || (fterm[m] == fterm[b] && flen[m] >= flen[b]))
#endif
#define ISBEST(m) ((fenced & (1 << m)) && (!(fenced & 1) || BETTER(m, 0)) && \
    (!(fenced & 2) || BETTER(m, 1)) && (!(fenced & 4) || BETTER(m, 2)))

proctype Promoter(byte me) {
    byte t, m, w, fenced;
    byte fterm[MEMBERS], flen[MEMBERS];
    byte used = 1;
    /* Promoters are alike: the first one starts first. */
    (me == 0 || started);
    do
    :: atomic { used < TERMS ->
        started = 1;
        /* any unused term: covers "highest promised seen + 1" */
        t = used + 1;
        if
        :: t < TERMS -> t++
        :: true
        fi;
        used = t }
        do
        :: atomic {
            if
            :: m = 0
            :: m = 1
            :: m = 2
            fi;
            if
            :: !(fenced & (1 << m)) && GRANTS(m, t, me) ->
#ifndef NO_FENCE
                promised[m] = t;
                owner[m] = OWNER(me);
#endif
                /* A lost answer is covered by no question at all: the promise
                 * by itself only takes steps away from others. */
                fenced = fenced | (1 << m);
                fterm[m] = LOGTERM(m);
                flen[m] = size[m]
            :: else
            fi;
            m = 0
           }
        :: atomic { COUNT(fenced) >= FENCED ->
            if
            :: ISBEST(0) -> m = 0
            :: ISBEST(1) -> m = 1
            :: ISBEST(2) -> m = 2
            fi }
            atomic {
                if
#ifdef NO_FENCE
                :: promised[m] < t -> promote(m, t, me)
#else
                :: promised[m] == t && owner[m] == OWNER(me) && !(primary[m] && current[m] == t) -> promote(m, t, me)
#endif
                :: else
                fi;
                m = 0
            }
            break
        :: atomic { used < TERMS -> break } /* give up, try a later term */
        od;
        atomic {
            fenced = 0; t = 0;
            fterm[0] = 0; fterm[1] = 0; fterm[2] = 0;
            flen[0] = 0; flen[1] = 0; flen[2] = 0
        }
    :: atomic { used >= TERMS -> break }
    od
}

init {
    atomic {
        primary[0] = 1;
        leader[1] = 1;
        run Replication();
        run Client(0);
        run Client(1);
#if WRITES > 2
        run Client(2);
#endif
        run Promoter(0);
        run Promoter(1)
    }
}
