/* The promotion lease in a store that is restored from copies (docs/platform.md,
 * section 6).
 *
 * Two instances read the lease's row and claim it with a transaction that expects the
 * version they have read. A transaction is carried out at any later time, also after
 * a restoration, if its expectation holds then, and its response may be lost. The
 * store is copied at any time and restored ERAS - 1 times from the last copy; it then
 * gives versions out again. A claim carries the era in which the row was read.
 *
 * Properties: a fencing token belongs to one holder; the token of each valid claim
 * is higher than those of all earlier ones; what an instance reads as the present
 * claim is the newest valid one; and a valid claim replaces the claim that its
 * sender has read.
 *
 * Broken variants, which the check must reject: TOKEN_IS_VERSION (tokens without the
 * era), VOID_COUNTS (a claim of a former era is taken for the present one),
 * STAMP_AT_EXECUTION (a claim names the era in which it is carried out).
 */
#define INSTANCES 2
#ifndef ERAS
#define ERAS 3
#endif
#ifndef VERSIONS
#define VERSIONS 3
#endif

byte era;
byte store_version;
byte row_holder;                /* instance + 1; 0: the lease was never claimed */
byte row_version;
byte row_era;                   /* the era that the claim carries */
byte row_claim;                 /* number of the claim, in the order of execution */

bit copied;
byte copy_store_version, copy_holder, copy_version, copy_era, copy_claim;

bit pending[INSTANCES];         /* a claim is under way */
byte expected_version[INSTANCES];
byte expected_claim[INSTANCES];
byte claim_era[INSTANCES];

byte claims;                    /* number of claims carried out */
byte newest_claim;              /* the newest valid one */
byte highest_token;
byte token_owner[16];           /* instance + 1 that has used the token */

#ifdef TOKEN_IS_VERSION
#define TOKEN(e, v) (v)
#else
#define TOKEN(e, v) ((e) * (VERSIONS + 1) + (v))
#endif

#ifdef VOID_COUNTS
#define IS_VALID(e) 1
#else
#define IS_VALID(e) ((e) == era)
#endif

inline use_token(i, v) {
    assert(token_owner[TOKEN(era, v)] == 0 || token_owner[TOKEN(era, v)] == i + 1);
    token_owner[TOKEN(era, v)] = i + 1
}

proctype Instance(byte i) {
    do
    :: d_step {                 /* read the row and send a claim */
        !pending[i] ->
        expected_version[i] = row_version;
        expected_claim[i] = row_claim;
        claim_era[i] = era;
        pending[i] = 1
       }
    :: d_step {                 /* read the row, for example after a lost response */
        row_holder > 0 && IS_VALID(row_era) ->
        assert(row_claim == newest_claim);
        if
        :: row_holder == i + 1 -> use_token(i, row_version)
        :: else
        fi
       }
    od
}

proctype Store() {
    byte j;
    bit delivered;
    do
    :: atomic {                 /* carry out a claim */
        if
        :: pending[0] -> j = 0
        :: pending[1] -> j = 1
        fi;
        if
        :: delivered = 0
        :: delivered = 1
        fi;
        pending[j] = 0;
        if
        :: row_version == expected_version[j] && store_version < VERSIONS ->
#ifdef STAMP_AT_EXECUTION
            claim_era[j] = era;
#endif
            store_version++;
            claims++;
            if
            :: IS_VALID(claim_era[j]) ->
                assert(row_claim == expected_claim[j]);
                assert(TOKEN(era, store_version) > highest_token);
                highest_token = TOKEN(era, store_version);
                newest_claim = claims
            :: else
            fi;
            row_holder = j + 1;
            row_version = store_version;
            row_era = claim_era[j];
            row_claim = claims;
            if
            :: delivered && IS_VALID(claim_era[j]) -> use_token(j, store_version)
            :: else
            fi
        :: else
        fi
       }
    :: d_step {
        copied = 1;
        copy_store_version = store_version;
        copy_holder = row_holder; copy_version = row_version; copy_era = row_era; copy_claim = row_claim
       }
    :: d_step {
        copied && era < ERAS - 1 ->
        era++;
        store_version = copy_store_version;
        row_holder = copy_holder; row_version = copy_version; row_era = copy_era; row_claim = copy_claim
       }
    od
}

init {
    atomic {
        run Instance(0);
        run Instance(1);
        run Store()
    }
}
