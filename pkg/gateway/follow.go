package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/revision"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// In a large fleet only the collectors follow the tables of the store. The other instances
// learn from their exchanges with the collector of their zone that it has something newer,
// and fetch it from there: a change of the configuration would otherwise cost a response
// of the store for each instance, and the store serves only some thousand calls a second.
// They return to the store when the collector no longer answers.

const (
	// followCheckInterval is the interval at which an instance that follows a collector
	// checks whether it still does.
	followCheckInterval = 250 * time.Millisecond
	// maxStoreSilence is the time since a collector sent the last call that the store
	// answered after which it offers no list of members: nobody is to follow it.
	maxStoreSilence = 2*collectorPollWait + feedTimeoutMargin
	// feedTimeoutMargin is about how long a lost poll outlasts its wait.
	feedTimeoutMargin = 700 * time.Millisecond
	// fetchTimeout bounds fetching a configuration or a list from a peer, which may have to
	// send it to all instances of its zone at the same time.
	fetchTimeout = 2 * time.Second
	// maxFetchedBytes bounds a decompressed configuration.
	maxFetchedBytes = 16 << 20
	// maxFollowSilence is the time since the collector's last answer after which an
	// instance polls the store itself.
	maxFollowSilence = exchangeInterval + 2*peerTimeout + 200*time.Millisecond
)

// encodedOnce holds the JSON encoding of a value, plain and compressed, which are made at
// most once: the collector of a zone sends them to all instances of the zone at once.
type encodedOnce struct {
	once              sync.Once
	plain, compressed []byte
	err               error
}

func (e *encodedOnce) encode(value func() any) (plain, compressed []byte, err error) {
	e.once.Do(func() {
		if e.plain, e.err = json.Marshal(value()); e.err != nil {
			return
		}
		var buffer bytes.Buffer
		w := gzip.NewWriter(&buffer)
		_, e.err = w.Write(e.plain)
		e.err = errors.CombineErrors(e.err, w.Close())
		e.compressed = buffer.Bytes()
	})
	return e.plain, e.compressed, errors.Wrap(e.err, "encode for a peer")
}

// decompress reverses the compression of encodedOnce.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a peer's response")
	}
	out, err := io.ReadAll(io.LimitReader(r, maxFetchedBytes))
	return out, errors.Wrap(err, "decompress a peer's response")
}

// encode returns the configuration in the form of FetchCatalog.
func (c *configuration) encode() (plain, compressed []byte, err error) {
	return c.encoded.encode(func() any {
		e := fetchedEntries{Spec: c.Spec}
		for z := range c.ZonesOut {
			e.ZonesOut = append(e.ZonesOut, z)
		}
		for z := range c.HeldZones {
			e.ZonesOut, e.HeldZones = append(e.ZonesOut, z), append(e.HeldZones, z)
		}
		return e
	})
}

// memberList is the platform's list of members at a revision of the table.
type memberList struct {
	members  []Member
	revision revision.Revision
	encoded  encodedOnce
}

// encode returns the list in the form of FetchMembers.
func (l *memberList) encode() ([]byte, error) {
	plain, _, err := l.encoded.encode(func() any { return l.members })
	return plain, err
}

// noteStoreAnswer records that the store answered a call sent at asked.
func (g *Gateway) noteStoreAnswer(asked time.Duration) { g.storeAnsweredAt.Store(int64(asked)) }

// storeAnswers reports whether the store has answered this instance recently.
func (g *Gateway) storeAnswers() bool {
	at := time.Duration(g.storeAnsweredAt.Load())
	return at > 0 && bootTime()-at < maxStoreSilence
}

// noteCollectorAnswer records that the collector of this instance's zone answered, and
// fetches its list of members if it is newer.
func (ps *peers) noteCollectorAnswer(p *peer, answer *pb.State) {
	if collector, self := ps.collector(); self || collector != p.ID || answer.MembersRevision == 0 {
		return
	}
	ps.collectorAnsweredAt.Store(int64(bootTime()))
	if list := ps.gw.memberList.Load(); list == nil || list.revision >= revision.Revision(answer.MembersRevision) {
		return // the first list comes from the store
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	response, err := p.client.FetchMembers(ctx, &pb.FetchMembersRequest{})
	if err != nil {
		return // repeated at the next exchange
	}
	changes, err := decodeMembers(response.Entries)
	if err != nil {
		ps.gw.log.WithFields(logrus.Fields{"event": "fetch-members", "peer": p.ID}).WithError(err).Warn("cannot decode the members of a peer")
		return
	}
	logUnreadable(ps.gw.log.WithField("peer", p.ID), changes)
	ps.gw.controller.enqueue(func() { ps.gw.controller.applyFetchedMembers(changes, revision.Revision(response.Revision)) })
}

// decodeMembers decodes the list of members of a peer. Entries that cannot be decoded or that
// no member can have written have an error, so that the rest of the list is used.
func decodeMembers(data []byte) ([]Change[Member], error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, errors.Wrap(err, "members of a peer")
	}
	changes := make([]Change[Member], len(entries))
	for i, entry := range entries {
		c := &changes[i]
		if c.Err = json.Unmarshal(entry, &c.Value); c.Err == nil {
			c.Err = c.Value.Validate()
		}
		c.Key = c.Value.ID
	}
	return changes, nil
}

// followsCollector reports whether this instance learns of changes from a collector. After
// the start, it gives the collector the time of one silence to answer.
func (ps *peers) followsCollector() bool {
	listedAt := time.Duration(ps.listedAt.Load())
	if listedAt == 0 {
		// Whether the fleet is large is not known yet.
		return bootTime()-ps.startedAt < listTimeout
	}
	if collector, self := ps.collector(); collector == "" || self {
		return false
	}
	return bootTime()-max(time.Duration(ps.collectorAnsweredAt.Load()), listedAt) < maxFollowSilence
}

// followsForConfig reports whether this instance gets the configuration and its
// confirmations from a collector.
func (ps *peers) followsForConfig() bool {
	age, known := ps.gw.configLeaseAge()
	return known && (!needsConfirmation(age) || !ps.gw.eras.settled()) && ps.followsCollector()
}

// fetchConfiguration fetches the configuration of a peer and makes it current unless this
// instance has a newer one. It returns what it fetched, with the age of its confirmation,
// or nil.
func (ps *peers) fetchConfiguration(p *peer) *pb.FetchCatalogResponse {
	if !ps.fetchingConfig.CompareAndSwap(false, true) {
		return nil
	}
	defer ps.fetchingConfig.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	r, err := p.client.FetchCatalog(ctx, &pb.FetchCatalogRequest{AcceptGzip: true})
	if err != nil || r.AgeMs < 0 {
		return nil // retried in the next exchange or with another peer
	}
	data := r.Entries
	if len(r.CompressedEntries) > 0 {
		data, err = decompress(r.CompressedEntries)
	}
	var entries fetchedEntries
	if err == nil {
		err = json.Unmarshal(data, &entries)
	}
	if err != nil {
		ps.gw.log.WithFields(logrus.Fields{"event": "fetch-catalog", "peer": p.ID}).WithError(err).Warn("cannot decode the configuration of a peer")
		return nil
	}
	ps.gw.installConfiguration(entries.decode(revision.Revision(r.Revision)))
	return r
}
