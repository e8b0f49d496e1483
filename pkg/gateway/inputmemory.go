package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

const (
	// mediumStatement and largeStatement are the sizes up to which a statement may grow after
	// one reservation. Smaller ones are read without a reservation.
	mediumStatement, largeStatement = 128 << 10, 1 << 20
	// statementCopies is how many copies of a statement exist at the same time at most: the
	// line that is read, its text, the form that is sent to the member, and the buffer of the
	// connection to the member.
	statementCopies = 4
	// relayedCopies is the same for the body of a relayed statement. It contains the data of a
	// statement twice, and each of them is copied once.
	relayedCopies = 3
	// The shares of the memory limit for statements outside transactions, statements of open
	// transactions, and statements that other instances relay. They are separate, so that none
	// waits for memory of another that waits for its connection. The rest is for results, for
	// small statements, and for the state of the instance.
	statementShare, transactionShare, relayedShare = 0.3, 0.15, 0.15
	// maxInputWait is how long a statement waits for memory before it is refused.
	maxInputWait = time.Second
	// maxArrivalTime is how long the rest of a statement may take to arrive once it has memory.
	// Clients that stop in the middle of a statement would hold the memory for good.
	maxArrivalTime = 10 * time.Second
	// transactionHeader marks relayed statements of open transactions.
	transactionHeader = "Mulberrysill-Transaction"
)

// inputMemory bounds the memory of one kind of large statements that are read and wait or run.
type inputMemory struct {
	mu      sync.Mutex
	budget  *admission.ByteBudget                      // guarded by mu
	waiting map[*admission.ByteRequest]chan<- struct{} // guarded by mu
}

// newInputMemory returns the memory for a share of the limit, or nil if there is no limit.
func newInputMemory(limit int64, share float64) *inputMemory {
	if limit <= 0 {
		return nil
	}
	return &inputMemory{budget: admission.NewByteBudget(int(share * float64(limit))), waiting: map[*admission.ByteRequest]chan<- struct{}{}}
}

// acquire waits for memory, at most maxInputWait. It returns nil if there is none. release must be
// called with what it returns.
func (m *inputMemory) acquire(workspace string, bytes int) *admission.ByteRequest {
	m.mu.Lock()
	r := m.budget.Request(workspace, bytes)
	if r.Granted() {
		m.mu.Unlock()
		return r
	}
	granted := make(chan struct{})
	m.waiting[r] = granted
	m.mu.Unlock()
	timer := time.NewTimer(maxInputWait)
	defer timer.Stop()
	select {
	case <-granted:
		return r
	case <-timer.C:
	}
	m.mu.Lock()
	isGranted := r.Granted()
	m.mu.Unlock()
	if isGranted {
		return r
	}
	m.release(r)
	return nil
}

// release returns memory.
func (m *inputMemory) release(r *admission.ByteRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting, r)
	for _, next := range m.budget.Release(r) {
		close(m.waiting[next])
		delete(m.waiting, next)
	}
}

// inputHold is the memory that a session holds for its present statement.
type inputHold struct {
	memory  *inputMemory
	request *admission.ByteRequest
	// arriveBy is when the statement must have arrived.
	arriveBy time.Time
}

// release returns the memory, if there is any.
func (h *inputHold) release() {
	if h.request != nil {
		h.memory.release(h.request)
	}
	*h = inputHold{}
}

// isOverdue reports whether a statement that has memory has not arrived in time.
func (h *inputHold) isOverdue(now time.Time) bool { return h.request != nil && !now.Before(h.arriveBy) }

// reserveInput reserves memory for a statement of which the given number of bytes has arrived,
// and returns the size up to which it may grow.
func (s *session) reserveInput(size int) (int, error) {
	memory := s.gw.statementMemory
	if s.tx != nil && (s.tx.conn != nil || s.tx.peer != nil) {
		memory = s.gw.transactionMemory
	}
	upTo := largeStatement
	if size <= mediumStatement {
		upTo = mediumStatement
	}
	// The smaller reservation is given back first, so that statements which grow do not wait for
	// each other. What has been read of this one is not counted until it has the larger one.
	s.input.release()
	workspace := s.startup.Key
	if _, w, err := s.gw.authorize(s.startup); err == nil {
		workspace = w.Name
	}
	request := memory.acquire(workspace, statementCopies*upTo)
	if request == nil {
		s.gw.requests.countRefusedInput()
		return 0, notRun(verdict.QueueFull, "too many large statements are in progress").WithRetryAfter(refusalRetryAfter)
	}
	s.input = inputHold{memory, request, time.Now().Add(maxArrivalTime)}
	return upTo, s.client.SetReadDeadline(s.input.arriveBy)
}

// limitRelayedInput wraps the handler of calls of peers. It bounds the memory of large statements
// that they relay.
func (g *Gateway) limitRelayedInput(next http.Handler) http.Handler {
	if g.relayedMemory == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength <= mediumStatement || !strings.HasSuffix(r.URL.Path, "/Run") {
			next.ServeHTTP(w, r)
			return
		}
		memory := g.relayedMemory
		inTransaction := r.Header.Get(transactionHeader) != ""
		if inTransaction {
			memory = g.transactionMemory
		}
		from, _, _ := net.SplitHostPort(r.RemoteAddr)
		request := memory.acquire(from, relayedCopies*int(r.ContentLength))
		if request != nil {
			defer memory.release(request)
			next.ServeHTTP(w, r)
			return
		}
		g.requests.countRefusedInput()
		// The sender would see a broken connection before it has the response.
		_, _ = io.Copy(io.Discard, r.Body)
		if inTransaction {
			// The sender rolls the transaction back.
			http.Error(w, "too many large statements are in progress", http.StatusServiceUnavailable)
			return
		}
		body, err := proto.Marshal(&pb.RunResponse{
			Code: string(verdict.QueueFull), Verdict: uint32(verdict.NotRun), Message: "too many large statements are in progress",
			RetryAfterMs: refusalRetryAfter.Milliseconds(),
		})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(body) // the sender sees a broken connection
	})
}

// markOpenTransaction marks a relayed statement as one of an open transaction.
func markOpenTransaction(ctx context.Context) context.Context {
	header := http.Header{}
	header.Set(transactionHeader, "open")
	marked, err := twirp.WithHTTPRequestHeaders(ctx, header)
	if err != nil {
		return ctx // only reserved headers are refused
	}
	return marked
}
