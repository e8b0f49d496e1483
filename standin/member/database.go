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

// database is one SQLite connection. It is used by one goroutine at a time.
type database struct {
	conn liteConn
	// key identifies the connection inside user-defined functions.
	key uintptr
	// replaying makes sleep_ms return at once: a replica repeats what a slow
	// statement changed, not how long it took.
	replaying bool
	// running is the context of the statement in progress.
	running atomic.Pointer[context.Context]
	// counters and schema read the change counters and the schema version.
	counters, schema driver.Stmt
}

type liteConn interface {
	driver.Conn
	driver.QueryerContext
	driver.ExecerContext
	ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
}

// busyTimeoutMS bounds the wait for SQLite's own lock. The member orders writers
// with a lock of its own, so the wait only covers checkpoints.
const busyTimeoutMS = 5000

func openDatabase(path string) (*database, error) {
	registerFunctions()
	pragmas := url.Values{"_pragma": {
		"busy_timeout(" + strconv.Itoa(busyTimeoutMS) + ")",
		"journal_mode(WAL)",
		// The member's log is the durable copy; the database can be rebuilt from it.
		"synchronous(OFF)",
		"foreign_keys(1)",
	}}
	connector, err := sqlite.NewConnector("file:" + path + "?" + pragmas.Encode())
	if err != nil {
		return nil, errors.Wrap(err, "sqlite settings")
	}
	raw, err := connector.Connect(context.Background())
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", path)
	}
	d := &database{conn: raw.(liteConn), key: connectionKey(raw)}
	databases.Store(d.key, d)
	if d.counters, err = d.conn.Prepare("SELECT changes(), total_changes()"); err == nil {
		d.schema, err = d.conn.Prepare("PRAGMA schema_version")
	}
	if err != nil {
		d.close()
		return nil, errors.Wrapf(err, "prepare on %s", path)
	}
	return d, nil
}

func (d *database) close() {
	for _, st := range []driver.Stmt{d.counters, d.schema} {
		if st != nil {
			_ = st.Close()
		}
	}
	databases.Delete(d.key)
	_ = d.conn.Close()
}

// removeDatabase deletes the files of a database without open connections.
func removeDatabase(path string) {
	for _, suffix := range []string{"", "-wal", "-shm"} {
		_ = os.Remove(path + suffix)
	}
}

func (d *database) exec(ctx context.Context, sql string, args ...driver.Value) error {
	d.running.Store(&ctx)
	defer d.running.Store(nil)
	_, err := d.conn.ExecContext(ctx, sql, named(args))
	return cancelledOr(ctx, err)
}

// cancelledOr returns the context's error in place of the error of a statement
// that failed because of it: a function that stops early fails before the driver
// notices the cancellation.
func cancelledOr(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// query starts a statement. The rows must be closed before the next statement.
func (d *database) query(ctx context.Context, sql string, args []driver.Value) (*resultRows, error) {
	d.running.Store(&ctx)
	rows, err := d.conn.QueryContext(ctx, sql, named(args))
	if err != nil {
		d.running.Store(nil)
		return nil, cancelledOr(ctx, err)
	}
	return &resultRows{Rows: rows, db: d, ctx: ctx}, nil
}

// resultRows are the rows of a running statement.
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
	return row, cancelledOr(r.ctx, err)
}

func (r *resultRows) close() {
	_ = r.Close()
	r.db.running.Store(nil)
}

// changeState is what tells whether statements changed data or schema.
type changeState struct {
	// last is the number of rows that the last statement changed; total counts
	// all changes of the connection.
	last, total int64
	schema      int64
}

func (d *database) changeState() (changeState, error) {
	counts, err := readInts(d.counters)
	if err != nil {
		return changeState{}, errors.Wrap(err, "read change counters")
	}
	schema, err := readInts(d.schema)
	if err != nil {
		return changeState{}, errors.Wrap(err, "read schema version")
	}
	return changeState{last: counts[0], total: counts[1], schema: schema[0]}, nil
}

// appliedIndex reads the log index that the database's last transaction stored.
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

// setAppliedIndex stores the log index in the transaction that is open.
func (d *database) setAppliedIndex(ctx context.Context, index uint64) error {
	return d.exec(ctx, "PRAGMA user_version = "+strconv.FormatUint(index, 10))
}

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

// named gives the i-th value the name under which SQLite knows "$i".
func named(args []driver.Value) []driver.NamedValue {
	list := make([]driver.NamedValue, len(args))
	for i, a := range args {
		list[i] = driver.NamedValue{Name: strconv.Itoa(i + 1), Ordinal: i + 1, Value: a}
	}
	return list
}

// databases finds the connection that a user-defined function runs on.
var databases sync.Map

// connectionKey returns the driver's thread-local state, which a function's
// context also carries. The driver offers no public way from one to the other,
// and sleep_ms needs it to end when its own statement is cancelled.
func connectionKey(v any) uintptr {
	return reflect.ValueOf(v).Elem().FieldByName("tls").Pointer()
}

var registerFunctions = sync.OnceFunc(func() {
	sqlite.MustRegisterScalarFunction("sleep_ms", 1, sleepMS)
})

// sleepMS implements sleep_ms(n): it waits n milliseconds, or until the
// statement is cancelled, and returns n.
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
	if d, ok := databases.Load(connectionKey(fc)); ok {
		if d.(*database).replaying {
			return n, nil
		}
		if ctx := d.(*database).running.Load(); ctx != nil {
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
