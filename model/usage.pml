/* The report of one window in a store that is restored from a copy (docs/design/usage.md).
 *
 * Two instances claim the promotion lease, list the fixed report, fix a report with a
 * transaction that expects no row and the version of their claim, and send what the store
 * holds. Their reports differ. A transaction and a call of the platform are carried out at
 * any later time, also after a restoration, and the response of the transaction may be
 * lost. An instance acts on its claim until it learns better, and may restart. The store is
 * copied at any time and restored ERAS - 1 times; it then gives versions out again. Claims
 * themselves are not late here; model/restoration.pml covers them.
 *
 * Property: the platform never receives two different reports, and receives only what the
 * store has held.
 *
 * Broken variants, which the check must reject: SEND_FIRST (a report is sent before it is
 * fixed), BUILD_AGAIN (the transaction replaces a row), BUILD_FORMER (a window that ended
 * before the restoration became known is built again), TRUST_FORMER (the row of a former era
 * is taken for the report of such a window), ANSWER_FORMER (the response to a transaction
 * counts although it comes from another era than that of the claim).
 */
#define INSTANCES 2
#ifndef ERAS
#define ERAS 2
#endif
#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

byte era;
byte store_version;
byte lease_version;
byte row;                       /* instance + 1 whose report the row holds; 0: no row */
byte row_era;                   /* the era that its writer knew */
byte held;                      /* bit i: the store has held the report of instance i */

bit copied;
byte copy_store_version, copy_lease_version, copy_row, copy_row_era;

bit ended;                      /* the window has ended */

bit holding[INSTANCES];         /* believes to hold the lease */
byte known_era[INSTANCES];
bit learned_before_end[INSTANCES]; /* knew the era before the window ended */
byte claim_version[INSTANCES];
byte known[INSTANCES];          /* the report known to be fixed; 0: none */
bit written[INSTANCES];         /* the store holds it in the known era */
bit given_up[INSTANCES];

bit tx_pending[INSTANCES];
bit tx_awaited[INSTANCES];
byte tx_version[INSTANCES], tx_era[INSTANCES], tx_report[INSTANCES];

byte call_pending[INSTANCES];   /* the report of a call under way */
byte reported;                  /* the report that the platform has received */
byte restarts;

#define IN_ERA(i) (known_era[i] == 0 || learned_before_end[i])
#ifdef BUILD_FORMER
#define MAY_BUILD(i) 1
#else
#define MAY_BUILD(i) IN_ERA(i)
#endif
#ifdef TRUST_FORMER
#define IS_TRUSTED(i) 1
#else
#define IS_TRUSTED(i) (row_era == known_era[i] || IN_ERA(i))
#endif

/* learn tells instance i of the era of a response. */
inline learn(i) {
    if
    :: known_era[i] != era ->
        known_era[i] = era;
        learned_before_end[i] = !ended;
        holding[i] = 0;
        written[i] = 0;
        tx_awaited[i] = 0
    :: else
    fi
}

/* observe takes the row that the store holds in the known era of instance i. */
inline observe(i) {
    if
    :: row == 0
    :: row != 0 && known[i] == row -> written[i] = 1
    :: row != 0 && known[i] != 0 && known[i] != row -> given_up[i] = 1
    :: row != 0 && known[i] == 0 && IS_TRUSTED(i) -> known[i] = row; written[i] = 1
    :: row != 0 && known[i] == 0 && !IS_TRUSTED(i) -> given_up[i] = 1
    fi
}

proctype Instance(byte i) {
    do
    :: d_step {                 /* claim the lease and list the reports */
        store_version < VERSIONS ->
        learn(i);
        store_version++;
        lease_version = store_version;
        claim_version[i] = store_version;
        holding[i] = 1;
        written[i] = 0;
        tx_awaited[i] = 0;
        observe(i)
       }
    :: d_step {                 /* fix a report, or write it again */
        holding[i] && ended && !given_up[i] && !tx_pending[i] && !written[i] && (known[i] != 0 || MAY_BUILD(i)) ->
        tx_pending[i] = 1;
        tx_awaited[i] = 1;
        tx_version[i] = claim_version[i];
        tx_era[i] = known_era[i];
        tx_report[i] = (known[i] != 0 -> known[i] : i + 1)
#ifdef SEND_FIRST
        ;
        known[i] = tx_report[i];
        written[i] = 1
#endif
       }
    :: d_step {                 /* read the row after a lost response */
        holding[i] && known_era[i] == era -> observe(i)
       }
    :: d_step { known_era[i] != era -> learn(i) }
    :: d_step {
        holding[i] && known[i] != 0 && written[i] && !given_up[i] && call_pending[i] == 0 ->
        call_pending[i] = known[i]
       }
    :: d_step {                 /* restart; calls under way remain */
        restarts < RESTARTS ->
        restarts++;
        holding[i] = 0; known[i] = 0; written[i] = 0; given_up[i] = 0; tx_awaited[i] = 0;
        known_era[i] = era;
        learned_before_end[i] = !ended
       }
    od
}

proctype Environment() {
    byte j;
    do
    :: atomic {                 /* carry out a transaction */
        if
        :: tx_pending[0] -> j = 0
        :: tx_pending[1] -> j = 1
        fi;
        tx_pending[j] = 0;
        if
#ifdef BUILD_AGAIN
        :: lease_version == tx_version[j] ->
#else
        :: row == 0 && lease_version == tx_version[j] ->
#endif
            row = tx_report[j];
            row_era = tx_era[j];
            held = held | (1 << (row - 1))
        :: else
        fi;
        if
#ifdef ANSWER_FORMER
        :: tx_awaited[j] -> observe(j)
#else
        :: tx_awaited[j] && tx_era[j] == era -> observe(j)
        :: tx_awaited[j] && tx_era[j] != era -> learn(j)
#endif
        :: true                 /* the response is lost */
        fi;
        tx_awaited[j] = 0;
        j = 0
       }
    :: atomic {                 /* carry out a call of the platform */
        if
        :: call_pending[0] != 0 -> j = 0
        :: call_pending[1] != 0 -> j = 1
        fi;
        assert(held & (1 << (call_pending[j] - 1)));
        assert(reported == 0 || reported == call_pending[j]);
        reported = call_pending[j];
        call_pending[j] = 0;
        j = 0
       }
    :: d_step { !ended -> ended = 1 }
    :: d_step {
        copied = 1;
        copy_store_version = store_version; copy_lease_version = lease_version;
        copy_row = row; copy_row_era = row_era
       }
    :: d_step {
        copied && era < ERAS - 1 ->
        era++;
        store_version = copy_store_version; lease_version = copy_lease_version;
        row = copy_row; row_era = copy_row_era
       }
    od
}

init {
    atomic {
        run Instance(0);
        run Instance(1);
        run Environment()
    }
}
