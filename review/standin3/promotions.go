//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

// promotionService answers an order at once, and the member leads after the delay. It refuses
// tokens below the highest one seen.
type promotionService struct {
	*httptest.Server
	onAccepted func(member string)

	mu      sync.Mutex
	highest uint64
}

func newPromotionService(rec *record, group *standin.Group, delay time.Duration) *promotionService {
	s := &promotionService{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		var token uint64
		for name, values := range r.Header {
			if strings.HasSuffix(name, "Fence-Token") && len(values) == 1 {
				token, _ = strconv.ParseUint(values[0], 10, 64)
			}
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || token == 0 {
			http.Error(w, "bad call", http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if token < s.highest {
			rec.say("order for %s under token %d refused", body.ID, token)
			w.WriteHeader(http.StatusConflict)
			return
		}
		s.highest = token
		rec.say("order for %s under token %d accepted", body.ID, token)
		if group.Primary().ID == body.ID {
			return
		}
		time.AfterFunc(delay, func() {
			group.Promote(body.ID)
			rec.say("%s leads", group.Primary().ID)
		})
		if s.onAccepted != nil {
			go s.onAccepted(body.ID)
		}
	}))
	return s
}
