package member

import (
	"context"
	"database/sql/driver"
	"io"
	"net/url"
	"os"
	"reflect"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"modernc.org/sqlite"
)

// database is one SQLite connection. It is not safe for concurrent use.
type database struct {
	conn sqliteConn
	// key identifies the connection in user-defined functions.
	key uintptr
	// replaying makes sleep_ms return at once, because a replica repeats the changes
	// of a slow statement but not its duration.
	replaying bool
	// runningContext is the context of the running statement, or nil.
	runningContext atomic.Pointer[context.Context]
	// changeCountersStmt and schemaVersionStmt are the prepared statements of
	// readChangeCounters.
	changeCountersStmt, schemaVersionStmt driver.Stmt
}

type sqliteConn interface {
	driver.Conn
	driver.QueryerContext
	driver.ExecerContext
	ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
}

// busyTimeoutMS is the maximum wait for SQLite's own write lock in milliseconds.
// Writers are serialized by Member.writeLock, so only checkpoints cause a wait.
const busyTimeoutMS = 5000

func openDatabase(path string) (*database, error) {
	registerFunctions()
	pragmas := url.Values{"_pragma": {
		"busy_timeout(" + strconv.Itoa(busyTimeoutMS) + ")",
		"journal_mode(WAL)",
		// The database needs no sync, because it can be rebuilt from the member's log.
		"synchronous(OFF)",
		"foreign_keys(1)",
	}}
	connector, err := sqlite.NewConnector("file:" + path + "?" + pragmas.Encode())
	if err != nil {
		return nil, errors.Wrap(err, "create the SQLite connector")
	}
	raw, err := connector.Connect(context.Background())
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", path)
	}
	d := &database{conn: raw.(sqliteConn), key: connectionKey(raw)}
	databaseByKey.Store(d.key, d)
	if d.changeCountersStmt, err = d.conn.Prepare("SELECT changes(), total_changes()"); err == nil {
		d.schemaVersionStmt, err = d.conn.Prepare("PRAGMA schema_version")
	}
	if err != nil {
		d.close()
		return nil, errors.Wrapf(err, "prepare on %s", path)
	}
	return d, nil
}

func (d *database) close() {
	for _, st := range []driver.Stmt{d.changeCountersStmt, d.schemaVersionStmt} {
		if st != nil {
			_ = st.Close()
		}
	}
	databaseByKey.Delete(d.key)
	_ = d.conn.Close()
}

// removeDatabase deletes the files of a database that has no open connections.
func removeDatabase(path string) {
	for _, suffix := range []string{"", "-wal", "-shm"} {
		_ = os.Remove(path + suffix)
	}
}

func (d *database) exec(ctx context.Context, sql string, args ...driver.Value) error {
	d.runningContext.Store(&ctx)
	defer d.runningContext.Store(nil)
	_, err := d.conn.ExecContext(ctx, sql, namedArgs(args))
	return contextErrorOr(ctx, err)
}

// contextErrorOr returns the context's error, if it has one, instead of the error of
// a failed statement. A user-defined function that stops early fails before the
// driver notices the cancellation.
func contextErrorOr(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// query starts a statement. The returned rows must be closed before the next one.
func (d *database) query(ctx context.Context, sql string, args []driver.Value) (*resultRows, error) {
	d.runningContext.Store(&ctx)
	rows, err := d.conn.QueryContext(ctx, sql, namedArgs(args))
	if err != nil {
		d.runningContext.Store(nil)
		return nil, contextErrorOr(ctx, err)
	}
	return &resultRows{Rows: rows, db: d, ctx: ctx}, nil
}

// resultRows iterates over the result of a running statement.
type resultRows struct {
	driver.Rows
	db  *database
	ctx context.Context
}

// next returns the next row, or io.EOF after the last.
func (r *resultRows) next() ([]driver.Value, error) {
	if err := r.ctx.Err(); err != nil {
		return nil, err
	}
	row := make([]driver.Value, len(r.Columns()))
	err := r.Next(row)
	if err == io.EOF {
		return nil, err
	}
	return row, contextErrorOr(r.ctx, err)
}

func (r *resultRows) close() {
	_ = r.Close()
	r.db.runningContext.Store(nil)
}

// changeCounters is a snapshot of the counters by which recordChanges detects changes
// of data or schema.
type changeCounters struct {
	// lastStatementRows is the number of rows that the last statement changed;
	// totalRows is the number that the connection has changed since it was opened.
	lastStatementRows, totalRows int64
	schemaVersion                int64
}

func (d *database) readChangeCounters() (changeCounters, error) {
	counts, err := readInts(d.changeCountersStmt)
	if err != nil {
		return changeCounters{}, errors.Wrap(err, "read change counters")
	}
	schema, err := readInts(d.schemaVersionStmt)
	if err != nil {
		return changeCounters{}, errors.Wrap(err, "read schema version")
	}
	return changeCounters{lastStatementRows: counts[0], totalRows: counts[1], schemaVersion: schema[0]}, nil
}

// appliedIndex reads the index of the last log entry that the database contains.
func (d *database) appliedIndex() (uint64, error) {
	st, err := d.conn.Prepare("PRAGMA user_version")
	if err != nil {
		return 0, errors.Wrap(err, "read applied index")
	}
	defer func() { _ = st.Close() }()
	v, err := readInts(st)
	if err != nil {
		return 0, errors.Wrap(err, "read applied index")
	}
	return uint64(v[0]), nil
}

// setAppliedIndex stores the log index in the open transaction.
func (d *database) setAppliedIndex(ctx context.Context, index uint64) error {
	return d.exec(ctx, "PRAGMA user_version = "+strconv.FormatUint(index, 10))
}

// readInts returns the integer columns of the first row.
func readInts(st driver.Stmt) ([]int64, error) {
	rows, err := st.(driver.StmtQueryContext).QueryContext(context.Background(), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	row := make([]driver.Value, len(rows.Columns()))
	if err := rows.Next(row); err != nil && err != io.EOF {
		return nil, err
	}
	values := make([]int64, len(row))
	for i, v := range row {
		values[i], _ = v.(int64)
	}
	return values, nil
}

// namedArgs names the arguments "1", "2" and so on, as SQLite names the parameters $1, $2.
func namedArgs(args []driver.Value) []driver.NamedValue {
	list := make([]driver.NamedValue, len(args))
	for i, a := range args {
		list[i] = driver.NamedValue{Name: strconv.Itoa(i + 1), Ordinal: i + 1, Value: a}
	}
	return list
}

// databaseByKey maps connection keys to *database, so that a user-defined function finds
// the connection on which it runs.
var databaseByKey sync.Map

// connectionKey returns the pointer to the driver's thread-local state, which a
// connection and the context of a function that runs on it have in common. The
// driver has no public API to find the connection from the function, and sleep_ms
// needs it to stop when its statement is cancelled.
func connectionKey(v any) uintptr {
	return reflect.ValueOf(v).Elem().FieldByName("tls").Pointer()
}

var registerFunctions = sync.OnceFunc(func() {
	sqlite.MustRegisterScalarFunction("sleep_ms", 1, sleepMS)
})

// sleepMS implements sleep_ms(n): it waits n milliseconds and returns n, or fails
// when the statement is cancelled.
func sleepMS(fc *sqlite.FunctionContext, args []driver.Value) (driver.Value, error) {
	var n int64
	switch v := args[0].(type) {
	case int64:
		n = v
	case float64:
		n = int64(v)
	case string:
		n, _ = strconv.ParseInt(v, 10, 64)
	}
	var cancelled <-chan struct{}
	if d, ok := databaseByKey.Load(connectionKey(fc)); ok {
		if d.(*database).replaying {
			return n, nil
		}
		if ctx := d.(*database).runningContext.Load(); ctx != nil {
			cancelled = (*ctx).Done()
		}
	}
	timer := time.NewTimer(time.Duration(n) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return n, nil
	case <-cancelled:
		return nil, context.Canceled
	}
}
