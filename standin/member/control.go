package member

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ControlHandler returns the HTTP handler through which development tools inspect a
// member in another process and inject faults:
//
//	GET  /status                     the status row as JSON
//	GET  /statements                 the number of data statements of clients, in JSON
//	GET  /counters                   {"selects": N}, the number of SELECT statements run
//	POST /lag?ms=N                   set the apply lag
//	POST /pause, POST /resume        hold back all responses, send them again
//	POST /lose?count=N               drop the responses to the next N commits
//	POST /cut?fellow=NAME            cut replication to and from the peer
//	POST /restore?fellow=NAME        restore it
func (m *Member) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.Status())
	})
	mux.HandleFunc("GET /statements", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.StatementCount())
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]int64{"selects": m.selects.Load()})
	})
	post := func(path string, action func()) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, _ *http.Request) {
			action()
			w.WriteHeader(http.StatusNoContent)
		})
	}
	post("/pause", m.PauseResponses)
	post("/resume", m.ResumeResponses)
	postNumber := func(path, field string, action func(n int)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			n, err := strconv.Atoi(r.URL.Query().Get(field))
			if err != nil || n < 0 {
				http.Error(w, field+" must be a number of at least 0", http.StatusBadRequest)
				return
			}
			action(n)
			w.WriteHeader(http.StatusNoContent)
		})
	}
	postNumber("/lag", "ms", func(n int) { m.SetLag(time.Duration(n) * time.Millisecond) })
	postNumber("/lose", "count", m.DropResponses)
	postPeer := func(path string, action func(name string)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			name := r.URL.Query().Get("fellow")
			m.mu.Lock()
			_, known := m.peers[name]
			m.mu.Unlock()
			if !known {
				http.Error(w, "fellow "+strconv.Quote(name)+" does not exist", http.StatusNotFound)
				return
			}
			action(name)
			w.WriteHeader(http.StatusNoContent)
		})
	}
	postPeer("/cut", m.CutReplication)
	postPeer("/restore", m.RestoreReplication)
	return mux
}
