package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
)

// Outage is a mode in which the platform serves no calls.
type Outage string

// The kinds of outage.
const (
	// NoOutage serves calls normally.
	NoOutage Outage = "none"
	// ErrorOutage fails every call immediately with twirp code unavailable.
	ErrorOutage Outage = "error"
	// HangOutage blocks every call until the outage ends or the client cancels
	// the call.
	HangOutage Outage = "hang"
)

// ParseOutage parses the name of an outage mode.
func ParseOutage(name string) (Outage, error) {
	switch o := Outage(name); o {
	case NoOutage, ErrorOutage, HangOutage:
		return o, nil
	}
	return "", errors.Newf("unknown outage mode %q: want none, error or hang", name)
}

// Stats counts calls since the platform started, including calls that failed
// the rate limit. Each write of a transaction counts as one.
type Stats struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// DroppedResponses counts the write calls that ran and whose response was dropped.
	DroppedResponses int `json:"lostAnswers"`
}

type faults struct {
	mu       sync.Mutex
	outage   Outage
	slowness time.Duration
	// responsesToDrop is the number of further write calls whose response is
	// dropped. A non-empty dropMethod limits the fault to that method.
	responsesToDrop int
	dropMethod      string

	instanceListLag time.Duration
	stats           Stats
	// outageChanged is closed and replaced when outage is set.
	outageChanged chan struct{}
}

// SetOutage starts an outage; NoOutage ends the current one.
func (p *Platform) SetOutage(o Outage) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.outage = o
	close(p.faults.outageChanged)
	p.faults.outageChanged = make(chan struct{})
}

// SetSlowness delays every call by d before the call is executed.
func (p *Platform) SetSlowness(d time.Duration) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.slowness = d
}

// DropResponses makes each of the next n write calls execute and then closes its
// connection without a response.
func (p *Platform) DropResponses(n int) { p.DropResponsesOf("", n) }

// DropResponsesOf is like DropResponses, but affects only calls of the given
// method, such as Transact. An empty method selects all write calls.
func (p *Platform) DropResponsesOf(method string, n int) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.dropMethod, p.faults.responsesToDrop = method, n
}

// SetInstanceLag sets the delay after which a change appears in the instance
// list.
func (p *Platform) SetInstanceLag(d time.Duration) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.instanceListLag = d
}

// Stats returns the call counters.
func (p *Platform) Stats() Stats {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	return p.faults.stats
}

func (f *faults) instanceLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instanceListLag
}

func (f *faults) countCalls(reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Reads += reads
	f.stats.Writes += writes
}

// consumeResponseDrop reports whether the response of this write call is to be
// dropped, and if so counts the drop.
func (f *faults) consumeResponseDrop(urlPath string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.responsesToDrop == 0 || (f.dropMethod != "" && f.dropMethod != path.Base(urlPath)) {
		return false
	}
	f.responsesToDrop--
	f.stats.DroppedResponses++
	return true
}

// isWrite reports whether the twirp method modifies the store or the instance
// list.
func isWrite(urlPath string) bool {
	method := path.Base(urlPath)
	return strings.HasPrefix(method, "Put") || strings.HasPrefix(method, "Register") || method == "Transact"
}

// maxRequestBytes leaves room for the largest object and its encoding overhead.
const maxRequestBytes = MaxObjectBytes + 64<<10

// injectFaults returns a handler that applies the configured faults to calls of
// next.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// net/http detects a disconnected client only after the body is read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			_ = twirp.WriteError(w, twirp.NewErrorf(twirp.InvalidArgument, "read request: %v", err))
			return
		}
		if !p.admit(w, r) {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if isWrite(r.URL.Path) && p.faults.consumeResponseDrop(r.URL.Path) {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// admit delays the call by the configured slowness and blocks it during a
// HangOutage. It returns false if it wrote an error response or the client has
// canceled the call.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	p.faults.mu.Lock()
	slowness := p.faults.slowness
	p.faults.mu.Unlock()
	if slowness > 0 {
		select {
		case <-time.After(slowness):
		case <-r.Context().Done():
			return false
		}
	}
	for {
		p.faults.mu.Lock()
		outage, changed := p.faults.outage, p.faults.outageChanged
		p.faults.mu.Unlock()
		switch outage {
		case ErrorOutage:
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unavailable, "the platform is down"))
			return false
		case HangOutage:
			select {
			case <-changed:
			case <-r.Context().Done():
				return false
			}
		default:
			return r.Context().Err() == nil
		}
	}
}

// addControl registers the endpoints through which a development tool injects
// faults into a platform that runs in another process. The faults do not apply
// to these endpoints:
//
//	GET  /control/stats                    Stats as JSON
//	POST /control/outage?mode=MODE         SetOutage (none, error, hang)
//	POST /control/slowness?ms=N            SetSlowness
//	POST /control/lose?count=N             DropResponses
//	POST /control/lag?ms=N                 SetInstanceLag
//	POST /control/remove?instance=ID       RemoveInstance
func (p *Platform) addControl(mux *http.ServeMux) {
	mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.Stats())
	})
	post := func(name, field string, act func(value string) error) {
		mux.HandleFunc("POST /control/"+name, func(w http.ResponseWriter, r *http.Request) {
			if err := act(r.URL.Query().Get(field)); err != nil {
				http.Error(w, field+": "+err.Error(), http.StatusBadRequest)
				return
			}
			p.logger.WithField(field, r.URL.Query().Get(field)).Info("control: " + name)
			w.WriteHeader(http.StatusNoContent)
		})
	}
	milliseconds := func(set func(time.Duration)) func(string) error {
		return nonNegativeInt(func(n int) { set(time.Duration(n) * time.Millisecond) })
	}
	post("outage", "mode", func(value string) error {
		o, err := ParseOutage(value)
		if err == nil {
			p.SetOutage(o)
		}
		return err
	})
	post("slowness", "ms", milliseconds(p.SetSlowness))
	post("lose", "count", nonNegativeInt(p.DropResponses))
	post("lag", "ms", milliseconds(p.SetInstanceLag))
	post("remove", "instance", func(id string) error {
		if id == "" {
			return errors.New("must not be empty")
		}
		p.RemoveInstance(id)
		return nil
	})
}

// nonNegativeInt returns a function that parses its argument as an integer of at
// least 0 and passes it to set.
func nonNegativeInt(set func(n int)) func(string) error {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return errors.Newf("%q is not an integer of at least 0", value)
		}
		set(n)
		return nil
	}
}

// tokenBucket is a rate limiter whose capacity is the tokens of 100 ms, but at
// least one transaction of the largest size.
type tokenBucket struct {
	mu         sync.Mutex
	rate       float64
	tokens     float64
	lastRefill time.Time
}

func newTokenBucket(rate float64) *tokenBucket {
	return &tokenBucket{rate: rate, tokens: bucketCapacity(rate), lastRefill: time.Now()}
}

// bucketCapacity returns the capacity of a bucket. A capacity below the size of
// the largest transaction would never admit that transaction.
func bucketCapacity(rate float64) float64 { return max(rate/10, maxTransactionWrites) }

// take removes n tokens, or returns a rate limit error that names the limited
// operation if fewer are left. A negative rate disables the limit.
func (b *tokenBucket) take(n float64, operation string) error {
	if b.rate < 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(bucketCapacity(b.rate), b.tokens+b.rate*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
	if b.tokens < n {
		return rateLimitError(operation, b.rate)
	}
	b.tokens -= n
	return nil
}
