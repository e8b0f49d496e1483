/* Promotion with fencing and write acknowledgement (docs/design.md, sections 3
 * and 4).
 *
 * Three members, two promoters, terms 1 to TERMS, WRITES writes. Every step may
 * be delayed indefinitely, which covers lost messages, partitions, pauses and
 * crashes. A log entry is identified by its term and index.
 *
 * Properties: every acknowledged write is in the log of every later primary, no
 * write is acknowledged that a later primary lacks, and each term has at most one
 * primary.
 *
 * Broken variants, which the check must reject: NO_FENCE (members do not record
 * promises), CONFIRM_SHORT (no replica confirms a write), FENCE_SHORT (fences less
 * than a majority), BARE_INDEX (compares logs by length only), SAME_OWNER (a
 * restarted process reuses the owner identity of its predecessor).
 */
#define MEMBERS 3
#define MAJORITY 2
#ifndef TERMS
#define TERMS 3
#endif
#ifndef WRITES
#define WRITES 2
#endif
#define MAX_LOG_LENGTH 5 /* must be at least WRITES + TERMS - 1 */

#ifdef FENCE_SHORT
#define FENCE_QUORUM (MAJORITY - 1)
#else
#define FENCE_QUORUM MAJORITY
#endif

#ifdef SAME_OWNER
#define OWNER(self) 1
#else
#define OWNER(self) (self + 1)
#endif
#define GRANTS_FENCE(m, t, self) (promised_term[m] < t || (promised_term[m] == t && promised_owner[m] == OWNER(self)))

byte promised_term[MEMBERS] = 1;
byte promised_owner[MEMBERS];   /* 0 is the owner of term 1 */
byte current_term[MEMBERS] = 1;
bit is_primary[MEMBERS];
byte log_length[MEMBERS];
byte log[15];                   /* log[m * MAX_LOG_LENGTH + i] is the term of entry i */

byte write_term[WRITES];        /* 0: not written yet */
byte write_index[WRITES];
bit write_acked[WRITES];
bit write_lost[WRITES];         /* a later primary lacks the write */
bit first_promoter_started;
byte primary_of_term[4];        /* member + 1 that is primary of the term; 0: none */

#define LAST_LOG_TERM(m) (log_length[m] == 0 -> 0 : log[(m) * MAX_LOG_LENGTH + log_length[m] - 1])
#define IS_ACTIVE_PRIMARY(m) (is_primary[m] && promised_term[m] == current_term[m])
#define CONFIRMS(m, w) (promised_term[m] == write_term[w] && current_term[m] == write_term[w] && \
    LAST_LOG_TERM(m) == write_term[w] && log_length[m] > write_index[w])
#define COUNT_BITS(bits) ((bits & 1) + ((bits >> 1) & 1) + ((bits >> 2) & 1))

inline append(m) {
    log[m * MAX_LOG_LENGTH + log_length[m]] = current_term[m];
    log_length[m]++
}

/* replicate_entry copies to m the first entry at which its log differs from p's,
 * and truncates the rest of m's log. */
inline replicate_entry(p, m) {
    d_step {
        promised_term[m] = current_term[p];
        promised_owner[m] = promised_owner[p];
        current_term[m] = current_term[p];
        is_primary[m] = 0;
        k = 0;
        do
        :: k < log_length[p] && k < log_length[m] && log[p * MAX_LOG_LENGTH + k] == log[m * MAX_LOG_LENGTH + k] -> k++
        :: else -> break
        od;
        if
        :: k < log_length[p] ->
            log[m * MAX_LOG_LENGTH + k] = log[p * MAX_LOG_LENGTH + k];
            j = k + 1;
            do
            :: j < log_length[m] -> log[m * MAX_LOG_LENGTH + j] = 0; j++
            :: else -> break
            od;
            log_length[m] = k + 1
        :: else
        fi;
        k = 0; j = 0
    }
}

inline promote(m, t, self) {
    d_step {
        promised_term[m] = t;
        promised_owner[m] = OWNER(self);
        current_term[m] = t;
        is_primary[m] = 1;
        assert(primary_of_term[t] == 0 || primary_of_term[t] == m + 1);
        primary_of_term[t] = m + 1;
        w = 0;
        do
        :: w < WRITES ->
            if
            :: write_term[w] != 0 && write_term[w] < t && !(log_length[m] > write_index[w] && log[m * MAX_LOG_LENGTH + write_index[w]] == write_term[w]) ->
                assert(!write_acked[w]);
                write_lost[w] = 1
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
        IS_ACTIVE_PRIMARY(p);
        if
        :: m = 0
        :: m = 1
        :: m = 2
        fi;
        if
        :: p != m && promised_term[m] <= current_term[p] -> replicate_entry(p, m)
        :: else
        fi;
        p = 0; m = 0
       }
    od
}

proctype Client(byte w) {
    byte m;
    atomic {
        /* Symmetry reduction: writes are interchangeable, so they are made in order. */
        (w == 0 || write_term[w - 1] != 0);
        if
        :: IS_ACTIVE_PRIMARY(0) -> m = 0
        :: IS_ACTIVE_PRIMARY(1) -> m = 1
        :: IS_ACTIVE_PRIMARY(2) -> m = 2
        fi;
        write_term[w] = current_term[m];
        write_index[w] = log_length[m];
        append(m)
    }
    /* The primary confirms by writing. Any replica completes the majority; later
     * confirmations would only delay the acknowledgement. */
    atomic {
#ifndef CONFIRM_SHORT
        (m != 0 && CONFIRMS(0, w)) || (m != 1 && CONFIRMS(1, w)) || (m != 2 && CONFIRMS(2, w));
#endif
        assert(!write_lost[w]);
        write_acked[w] = 1;
        m = 0
    }
}

/* AT_LEAST_AS_ADVANCED compares the log positions of members m and b as of their
 * promises. */
#ifdef BARE_INDEX
#define AT_LEAST_AS_ADVANCED(m, b) (fenced_log_length[m] >= fenced_log_length[b])
#else
#define AT_LEAST_AS_ADVANCED(m, b) (fenced_log_term[m] > fenced_log_term[b] || (fenced_log_term[m] == fenced_log_term[b] && fenced_log_length[m] >= fenced_log_length[b]))
#endif
#define IS_MOST_ADVANCED(m) ((fenced_members & (1 << m)) && (!(fenced_members & 1) || AT_LEAST_AS_ADVANCED(m, 0)) && \
    (!(fenced_members & 2) || AT_LEAST_AS_ADVANCED(m, 1)) && (!(fenced_members & 4) || AT_LEAST_AS_ADVANCED(m, 2)))

proctype Promoter(byte self) {
    byte t, m, w, fenced_members;
    byte fenced_log_term[MEMBERS], fenced_log_length[MEMBERS];
    byte last_term = 1;
    /* Symmetry reduction: promoters are interchangeable, so promoter 0 starts first. */
    (self == 0 || first_promoter_started);
    do
    :: atomic { last_term < TERMS ->
        first_promoter_started = 1;
        /* Any unused term; this includes the highest promised term seen + 1. */
        t = last_term + 1;
        if
        :: t < TERMS -> t++
        :: true
        fi;
        last_term = t }
        do
        :: atomic {
            if
            :: m = 0
            :: m = 1
            :: m = 2
            fi;
            if
            :: !(fenced_members & (1 << m)) && GRANTS_FENCE(m, t, self) ->
#ifndef NO_FENCE
                promised_term[m] = t;
                promised_owner[m] = OWNER(self);
#endif
                /* A lost response needs no step of its own. It is like a request
                 * that was never sent, because the promise alone only disables
                 * steps of other processes. */
                fenced_members = fenced_members | (1 << m);
                fenced_log_term[m] = LAST_LOG_TERM(m);
                fenced_log_length[m] = log_length[m]
            :: else
            fi;
            m = 0
           }
        :: atomic { COUNT_BITS(fenced_members) >= FENCE_QUORUM ->
            if
            :: IS_MOST_ADVANCED(0) -> m = 0
            :: IS_MOST_ADVANCED(1) -> m = 1
            :: IS_MOST_ADVANCED(2) -> m = 2
            fi }
            atomic {
                if
#ifdef NO_FENCE
                :: promised_term[m] < t -> promote(m, t, self)
#else
                :: promised_term[m] == t && promised_owner[m] == OWNER(self) && !(is_primary[m] && current_term[m] == t) -> promote(m, t, self)
#endif
                :: else
                fi;
                m = 0
            }
            break
        :: atomic { last_term < TERMS -> break } /* abandon the attempt and try a later term */
        od;
        atomic {
            fenced_members = 0; t = 0;
            fenced_log_term[0] = 0; fenced_log_term[1] = 0; fenced_log_term[2] = 0;
            fenced_log_length[0] = 0; fenced_log_length[1] = 0; fenced_log_length[2] = 0
        }
    :: atomic { last_term >= TERMS -> break }
    od
}

init {
    atomic {
        is_primary[0] = 1;
        primary_of_term[1] = 1;
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
