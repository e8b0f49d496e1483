package member

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ControlHandler returns the HTTP endpoint through which a development tool
// injects faults into a member in another process:
//
//	GET  /status                     the status row as JSON
//	GET  /statements                 Statements as a JSON number
//	GET  /counters                   {"selects": N}, the SELECTs that clients ran
//	POST /lag?ms=N                   SetLag
//	POST /pause, POST /resume        PauseAnswers, ResumeAnswers
//	POST /lose?count=N               LoseAnswers
//	POST /cut?fellow=NAME            CutReplication
//	POST /restore?fellow=NAME        RestoreReplication
func (m *Member) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.Status())
	})
	mux.HandleFunc("GET /statements", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.Statements())
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]int64{"selects": m.selects.Load()})
	})
	post := func(path string, act func()) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, _ *http.Request) {
			act()
			w.WriteHeader(http.StatusNoContent)
		})
	}
	post("/pause", m.PauseAnswers)
	post("/resume", m.ResumeAnswers)
	number := func(path, field string, act func(n int)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			n, err := strconv.Atoi(r.URL.Query().Get(field))
			if err != nil || n < 0 {
				http.Error(w, field+" must be a number of at least 0", http.StatusBadRequest)
				return
			}
			act(n)
			w.WriteHeader(http.StatusNoContent)
		})
	}
	number("/lag", "ms", func(n int) { m.SetLag(time.Duration(n) * time.Millisecond) })
	number("/lose", "count", m.LoseAnswers)
	fellow := func(path string, act func(name string)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			name := r.URL.Query().Get("fellow")
			m.mu.Lock()
			_, known := m.fellows[name]
			m.mu.Unlock()
			if !known {
				http.Error(w, "fellow "+strconv.Quote(name)+" does not exist", http.StatusNotFound)
				return
			}
			act(name)
			w.WriteHeader(http.StatusNoContent)
		})
	}
	fellow("/cut", m.CutReplication)
	fellow("/restore", m.RestoreReplication)
	return mux
}
