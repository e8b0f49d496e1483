package admission

// ByteBudget shares an amount of memory between requests, fairly between workspaces. The
// waiting workspace that has the least memory in use comes first, and then the one that has
// waited longest.
type ByteBudget struct {
	limit, used int
	usedBy      map[string]int
	waiting     []*ByteRequest
}

// ByteRequest is a request for memory.
type ByteRequest struct {
	workspace string
	bytes     int
	granted   bool
}

// NewByteBudget returns a budget of the given size in bytes.
func NewByteBudget(limit int) *ByteBudget {
	return &ByteBudget{limit: limit, usedBy: map[string]int{}}
}

// Granted reports whether the request has its memory.
func (r *ByteRequest) Granted() bool { return r.granted }

// Request asks for memory. If the request is not granted, it waits until Release returns it.
// The caller must call Release for each request.
func (b *ByteBudget) Request(workspace string, bytes int) *ByteRequest {
	r := &ByteRequest{workspace: workspace, bytes: bytes}
	b.waiting = append(b.waiting, r)
	b.grantNext()
	return r
}

// Release ends a request, whether it was granted or waits, and returns the requests that are
// granted in consequence.
func (b *ByteBudget) Release(r *ByteRequest) []*ByteRequest {
	if r.granted {
		b.used -= r.bytes
		if b.usedBy[r.workspace] -= r.bytes; b.usedBy[r.workspace] == 0 {
			delete(b.usedBy, r.workspace)
		}
	}
	for i, other := range b.waiting {
		if other == r {
			b.waiting = append(b.waiting[:i:i], b.waiting[i+1:]...)
			break
		}
	}
	var granted []*ByteRequest
	for next := b.grantNext(); next != nil; next = b.grantNext() {
		granted = append(granted, next)
	}
	return granted
}

// grantNext grants the next waiting request, or returns nil if it does not fit. One request is
// always granted, however large it is.
func (b *ByteBudget) grantNext() *ByteRequest {
	at := -1
	for i, r := range b.waiting {
		if at < 0 || b.usedBy[r.workspace] < b.usedBy[b.waiting[at].workspace] {
			at = i
		}
	}
	if at < 0 {
		return nil
	}
	r := b.waiting[at]
	if b.used > 0 && b.used+r.bytes > b.limit {
		return nil
	}
	b.waiting = append(b.waiting[:at:at], b.waiting[at+1:]...)
	r.granted = true
	b.used += r.bytes
	b.usedBy[r.workspace] += r.bytes
	return r
}
