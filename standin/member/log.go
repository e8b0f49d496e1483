package member

import (
	"bufio"
	"bytes"
	"database/sql/driver"
	"encoding/binary"
	"hash/crc32"
	"io"
	"math"
	"os"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// loggedStatement is a statement of a logged transaction: one that changed data or
// schema, or acted on a savepoint.
type loggedStatement struct {
	sql  string
	args []driver.Value
}

// entry is a log entry: one committed transaction, or no statements at the start of
// a term.
type entry struct {
	term uint64
	// payload holds the encoded statements.
	payload []byte
	// received is when this member appended the entry. It is zero for entries that
	// were read from the log file.
	received time.Time
}

// termRun describes consecutive log entries of one term: those from index Start up
// to the start of the next run.
type termRun struct {
	Term, Start uint64
}

// entryLog is the member's replication log, in memory and in a file. The file is
// not synced, so entries survive a crash of the process but not of the machine.
// It is guarded by Member.mu.
type entryLog struct {
	file    *os.File
	entries []entry
	// endOffsets[i] is the file offset just after the entry with index i+1.
	endOffsets []int64
	runs       []termRun
}

// recordHeaderBytes is the size of the header before each payload in the file: its
// length (4 bytes), its CRC-32 checksum (4) and the entry's term (8).
const recordHeaderBytes = 16

// openLog opens the log file and reads its entries. It truncates the file at the
// first incomplete or corrupt record, which a killed process may leave at the end.
func openLog(path string) (*entryLog, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	l := &entryLog{file: file}
	reader := bufio.NewReader(file)
	var header [recordHeaderBytes]byte
	for {
		if _, err := io.ReadFull(reader, header[:]); err != nil {
			break
		}
		payload := make([]byte, binary.BigEndian.Uint32(header[:]))
		if _, err := io.ReadFull(reader, payload); err != nil {
			break
		}
		if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(header[4:]) {
			break
		}
		l.addEntry(entry{term: binary.BigEndian.Uint64(header[8:]), payload: payload})
	}
	if err := l.truncateFile(); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *entryLog) addEntry(e entry) {
	end := l.endOffset(l.length()) + recordHeaderBytes + int64(len(e.payload))
	l.entries = append(l.entries, e)
	l.endOffsets = append(l.endOffsets, end)
	if e.term != l.lastRun().Term {
		l.runs = append(l.runs, termRun{Term: e.term, Start: l.length()})
	}
}

// append writes an entry to the file and then adds it in memory.
func (l *entryLog) append(e entry) error {
	record := make([]byte, recordHeaderBytes, recordHeaderBytes+len(e.payload))
	binary.BigEndian.PutUint32(record, uint32(len(e.payload)))
	binary.BigEndian.PutUint32(record[4:], crc32.ChecksumIEEE(e.payload))
	binary.BigEndian.PutUint64(record[8:], e.term)
	if _, err := l.file.WriteAt(append(record, e.payload...), l.endOffset(l.length())); err != nil {
		return errors.Wrap(err, "append to log")
	}
	l.addEntry(e)
	return nil
}

// truncate removes all entries after index.
func (l *entryLog) truncate(index uint64) error {
	if index >= l.length() {
		return nil
	}
	l.entries = l.entries[:index:index]
	l.endOffsets = l.endOffsets[:index]
	for len(l.runs) > 0 && l.lastRun().Start > index {
		l.runs = l.runs[:len(l.runs)-1]
	}
	return l.truncateFile()
}

func (l *entryLog) truncateFile() error {
	return errors.Wrap(l.file.Truncate(l.endOffset(l.length())), "truncate log")
}

func (l *entryLog) endOffset(index uint64) int64 {
	if index == 0 {
		return 0
	}
	return l.endOffsets[index-1]
}

// length returns the index of the last entry, or 0 if there is none.
func (l *entryLog) length() uint64 { return uint64(len(l.entries)) }

func (l *entryLog) lastRun() termRun {
	if len(l.runs) == 0 {
		return termRun{}
	}
	return l.runs[len(l.runs)-1]
}

// at returns the entry with the given index; the first entry has index 1.
func (l *entryLog) at(index uint64) entry { return l.entries[index-1] }

// termAt returns the term of the entry with the given index, or 0 for index 0.
func (l *entryLog) termAt(index uint64) uint64 {
	i := sort.Search(len(l.runs), func(i int) bool { return l.runs[i].Start > index })
	if i == 0 {
		return 0
	}
	return l.runs[i-1].Term
}

// commonPrefix returns the last index up to which two logs are equal. Because a
// term has only one primary, entries with equal index and term are equal, and so
// are all entries before them.
func commonPrefix(a []termRun, lengthA uint64, b []termRun, lengthB uint64) uint64 {
	var common uint64
	for i, ra := range a {
		for j, rb := range b {
			if ra.Term != rb.Term {
				continue
			}
			end := min(runEnd(a, i, lengthA), runEnd(b, j, lengthB))
			if end >= max(ra.Start, rb.Start) {
				common = max(common, end)
			}
		}
	}
	return common
}

// runEnd returns the index of the last entry of the i-th run in a log of the given
// length.
func runEnd(runs []termRun, i int, length uint64) uint64 {
	if i+1 < len(runs) {
		return runs[i+1].Start - 1
	}
	return length
}

// Type tags of encoded arguments. They are stored in the log.
const (
	argNull byte = iota
	argInt
	argFloat
	argText
	argBytes
)

func encodeStatements(list []loggedStatement) []byte {
	var b []byte
	putBytes := func(s string) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, st := range list {
		putBytes(st.sql)
		b = binary.AppendUvarint(b, uint64(len(st.args)))
		for _, a := range st.args {
			switch v := a.(type) {
			case int64:
				b = binary.AppendVarint(append(b, argInt), v)
			case float64:
				b = binary.BigEndian.AppendUint64(append(b, argFloat), math.Float64bits(v))
			case string:
				b = append(b, argText)
				putBytes(v)
			case []byte:
				b = append(b, argBytes)
				putBytes(string(v))
			default:
				b = append(b, argNull)
			}
		}
	}
	return b
}

func decodeStatements(payload []byte) ([]loggedStatement, error) {
	r := bytes.NewReader(payload)
	var list []loggedStatement
	n, err := binary.ReadUvarint(r)
	for ; err == nil && n > 0; n-- {
		var st loggedStatement
		if st, err = decodeStatement(r); err == nil {
			list = append(list, st)
		}
	}
	return list, errors.Wrap(err, "decode log entry")
}

func decodeStatement(r *bytes.Reader) (loggedStatement, error) {
	var st loggedStatement
	text, err := readBytes(r)
	if err != nil {
		return st, err
	}
	st.sql = string(text)
	n, err := binary.ReadUvarint(r)
	for ; err == nil && n > 0; n-- {
		var v driver.Value
		if v, err = decodeValue(r); err == nil {
			st.args = append(st.args, v)
		}
	}
	return st, err
}

func decodeValue(r *bytes.Reader) (driver.Value, error) {
	kind, err := r.ReadByte()
	if err != nil {
		return nil, err
	}
	switch kind {
	case argInt:
		return binary.ReadVarint(r)
	case argFloat:
		var b [8]byte
		_, err := io.ReadFull(r, b[:])
		return math.Float64frombits(binary.BigEndian.Uint64(b[:])), err
	case argText:
		b, err := readBytes(r)
		return string(b), err
	case argBytes:
		return readBytes(r)
	}
	return nil, nil
}

func readBytes(r *bytes.Reader) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if n > uint64(r.Len()) {
		return nil, io.ErrUnexpectedEOF
	}
	b := make([]byte, n)
	_, err = io.ReadFull(r, b)
	return b, err
}
