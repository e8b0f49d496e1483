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

// Outage is a way in which the platform fails all calls.
type Outage string

// The kinds of outage.
const (
	// NoOutage is normal service.
	NoOutage Outage = "none"
	// ErrorOutage answers every call at once with twirp code unavailable.
	ErrorOutage Outage = "error"
	// HangOutage answers nothing. A call goes on when the outage ends, unless
	// its client has given up.
	HangOutage Outage = "hang"
)

// ParseOutage reads the name of an outage.
func ParseOutage(name string) (Outage, error) {
	switch o := Outage(name); o {
	case NoOutage, ErrorOutage, HangOutage:
		return o, nil
	}
	return "", errors.Newf("outage %q is not none, error or hang", name)
}

// Stats counts calls since the start, refused ones included.
type Stats struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// LostAnswers counts the writes that took effect without an answer.
	LostAnswers int `json:"lostAnswers"`
}

type faults struct {
	mu       sync.Mutex
	outage   Outage
	slowness time.Duration
	// lost counts the coming writes whose answer is to be lost; lostMethod
	// limits them to one method unless it is empty.
	lost       int
	lostMethod string

	lag   time.Duration
	stats Stats
	// changed is closed and replaced when the outage changes.
	changed chan struct{}
}

// SetOutage starts an outage or, with NoOutage, ends it.
func (p *Platform) SetOutage(o Outage) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.outage = o
	close(p.faults.changed)
	p.faults.changed = make(chan struct{})
}

// SetSlowness delays every call by d before it takes effect.
func (p *Platform) SetSlowness(d time.Duration) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.slowness = d
}

// LoseAnswers drops the connection of each of the next n writes after the write
// took effect and before its answer.
func (p *Platform) LoseAnswers(n int) { p.LoseAnswersOf("", n) }

// LoseAnswersOf is LoseAnswers for the writes of one method, such as Transact.
func (p *Platform) LoseAnswersOf(method string, n int) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.lostMethod, p.faults.lost = method, n
}

// SetInstanceLag sets the age of the instance list.
func (p *Platform) SetInstanceLag(d time.Duration) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.lag = d
}

// Stats returns the number of calls so far.
func (p *Platform) Stats() Stats {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	return p.faults.stats
}

func (f *faults) instanceLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag
}

func (f *faults) count(reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Reads += reads
	f.stats.Writes += writes
}

func (f *faults) losesAnswer(urlPath string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost == 0 || (f.lostMethod != "" && f.lostMethod != path.Base(urlPath)) {
		return false
	}
	f.lost--
	f.stats.LostAnswers++
	return true
}

// isWrite reports whether the twirp method changes something.
func isWrite(urlPath string) bool {
	method := path.Base(urlPath)
	return strings.HasPrefix(method, "Put") || strings.HasPrefix(method, "Register") || method == "Transact"
}

// maxRequestBytes is the size of the largest object and its framing.
const maxRequestBytes = MaxObjectBytes + 64<<10

// injectFaults applies the faults to the calls of next.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server notices that a client has gone only once the body is read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			_ = twirp.WriteError(w, twirp.NewErrorf(twirp.InvalidArgument, "read request: %v", err))
			return
		}
		if !p.admit(w, r) {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if isWrite(r.URL.Path) && p.faults.losesAnswer(r.URL.Path) {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// admit waits out slowness and a hanging outage. It reports false if the call
// is answered or its client has given up.
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
		outage, changed := p.faults.outage, p.faults.changed
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

// addControl adds the endpoint through which a development tool injects faults
// into a platform in another process. Faults do not apply to it:
//
//	GET  /control/stats                    Stats as JSON
//	POST /control/outage?mode=MODE         SetOutage (none, error, hang)
//	POST /control/slowness?ms=N            SetSlowness
//	POST /control/lose?count=N             LoseAnswers
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
		return number(func(n int) { set(time.Duration(n) * time.Millisecond) })
	}
	post("outage", "mode", func(value string) error {
		o, err := ParseOutage(value)
		if err == nil {
			p.SetOutage(o)
		}
		return err
	})
	post("slowness", "ms", milliseconds(p.SetSlowness))
	post("lose", "count", number(p.LoseAnswers))
	post("lag", "ms", milliseconds(p.SetInstanceLag))
	post("remove", "instance", func(id string) error {
		if id == "" {
			return errors.New("must not be empty")
		}
		p.RemoveInstance(id)
		return nil
	})
}

func number(set func(n int)) func(string) error {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return errors.Newf("%q is not a number of at least 0", value)
		}
		set(n)
		return nil
	}
}

// bucket is a token bucket that holds a tenth of a second of its rate.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	filled time.Time
}

func newBucket(rate float64) *bucket {
	return &bucket{rate: rate, tokens: capacity(rate), filled: time.Now()}
}

// capacity is at least the size of the largest transaction, which could
// otherwise never run.
func capacity(rate float64) float64 { return max(rate/10, maxTransactionWrites) }

func (b *bucket) take(n float64, what string) error {
	if b.rate < 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(capacity(b.rate), b.tokens+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < n {
		return exhausted(what, b.rate)
	}
	b.tokens -= n
	return nil
}
