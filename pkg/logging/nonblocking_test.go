package logging

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedWriter is a writer that blocks until the channel is closed.
type blockedWriter chan struct{}

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s
	return len(p), nil
}

// Guards against requests that block because the reader of the log has stopped reading
// standard output.
func TestNonBlockingWithStoppedReader(t *testing.T) {
	g := NewWithT(t)
	release := make(blockedWriter)
	defer close(release)
	w := NonBlocking(release)
	done := make(chan struct{})
	go func() {
		for range 10 * maxQueuedLines {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Errorf("write: %v", err)
			}
		}
		close(done)
	}()
	g.Eventually(done, 10*time.Second).Should(BeClosed())
}
