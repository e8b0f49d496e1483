package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrysill/mulberrysill/rpc/platform"
)

// Limits of the store.
const (
	// MaxObjectBytes is the maximum size of an object.
	MaxObjectBytes = 16 << 20
	// maxTransactionWrites is the maximum number of writes of a transaction.
	maxTransactionWrites = 100
	// leavingRetention is how long an instance stays in the list after it
	// registered as leaving.
	leavingRetention = time.Minute
)

// store holds rows, objects and the change history of the instance list in
// memory.
type store struct {
	mu      sync.Mutex
	rows    map[string]*pb.Row
	objects map[string][]byte
	// lastVersion is the version of the most recently written row. All rows share
	// this counter, so a row that is removed and created again never reuses one
	// of its earlier versions.
	lastVersion     uint64
	instanceChanges map[string][]instanceChange
	// era is the number of restorations.
	era uint64
}

// Copy is a copy of the rows of a platform.
type Copy struct {
	rows        map[string]*pb.Row
	lastVersion uint64
}

// Copy returns a copy of the rows.
func (p *Platform) Copy() Copy {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	return Copy{maps.Clone(p.store.rows), p.store.lastVersion}
}

// Restore replaces the rows by the copy and begins the next era. Objects and the instance
// list stay.
func (p *Platform) Restore(c Copy) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.rows, p.store.lastVersion = maps.Clone(c.rows), c.lastVersion
	p.store.era++
}

// instanceChange is one change of an instance's entry in the instance list; a
// nil instance removes the entry.
type instanceChange struct {
	at       time.Time
	instance *pb.Instance
}

func newStore() *store {
	return &store{rows: map[string]*pb.Row{}, objects: map[string][]byte{}, instanceChanges: map[string][]instanceChange{}}
}

func (s *store) get(key string) *pb.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.copyRow(key)
	row.Era = s.era
	return row
}

// copyRow returns a copy of the row; a missing row has version 0. The caller
// holds s.mu.
func (s *store) copyRow(key string) *pb.Row {
	if row := s.rows[key]; row != nil {
		return proto.Clone(row).(*pb.Row)
	}
	return &pb.Row{Key: key}
}

func (s *store) list(prefix string) []*pb.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []*pb.Row
	for key := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, s.copyRow(key))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// transact applies either all writes or none. It fails if a row does not have
// the expected version.
func (s *store) transact(writes []*pb.PutRowRequest) ([]*pb.Row, error) {
	if err := validateWrites(writes); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		if version := s.copyRow(w.Key).Version; version != w.ExpectedVersion {
			return nil, twirp.NewErrorf(twirp.FailedPrecondition, "row %s has version %d, expected %d",
				w.Key, version, w.ExpectedVersion).WithMeta("version", strconv.FormatUint(version, 10))
		}
	}
	var rows []*pb.Row
	for _, w := range writes {
		if w.Remove {
			delete(s.rows, w.Key)
		} else {
			s.lastVersion++
			s.rows[w.Key] = &pb.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Version: s.lastVersion}
		}
		rows = append(rows, s.copyRow(w.Key))
	}
	return rows, nil
}

func validateWrites(writes []*pb.PutRowRequest) error {
	if len(writes) == 0 || len(writes) > maxTransactionWrites {
		return twirp.NewErrorf(twirp.InvalidArgument, "a transaction must have 1 to %d writes", maxTransactionWrites)
	}
	seen := map[string]bool{}
	for _, w := range writes {
		if w.Key == "" || seen[w.Key] {
			return twirp.NewErrorf(twirp.InvalidArgument, "key %q is empty or written twice", w.Key)
		}
		seen[w.Key] = true
	}
	return nil
}

func (s *store) putObject(data []byte) (string, error) {
	if len(data) > MaxObjectBytes {
		return "", twirp.NewErrorf(twirp.InvalidArgument, "object has %d bytes, the limit is %d", len(data), MaxObjectBytes)
	}
	sum := sha256.Sum256(data)
	digest := hex.EncodeToString(sum[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[digest]; !ok {
		s.objects[digest] = append([]byte(nil), data...)
	}
	return digest, nil
}

func (s *store) getObject(digest string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[digest]
	if !ok {
		return nil, twirp.NotFoundError("no object with digest " + digest)
	}
	return data, nil
}

func (s *store) register(instance *pb.Instance) error {
	if instance.Id == "" {
		return twirp.RequiredArgumentError("id")
	}
	s.addChange(instance.Id, proto.Clone(instance).(*pb.Instance))
	return nil
}

func (s *store) addChange(id string, instance *pb.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instanceChanges[id] = append(s.instanceChanges[id], instanceChange{at: time.Now(), instance: instance})
}

// listInstances returns the instance list as of the time lag before now.
func (s *store) listInstances(lag time.Duration) []*pb.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-lag)
	var list []*pb.Instance
	for _, changes := range s.instanceChanges {
		var last instanceChange
		for _, c := range changes {
			if !c.at.After(asOf) {
				last = c
			}
		}
		if last.instance == nil || (last.instance.Leaving && asOf.Sub(last.at) > leavingRetention) {
			continue
		}
		list = append(list, last.instance)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
	return list
}
