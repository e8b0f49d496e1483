package gateway_test

import (
	"fmt"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

// fillConnections takes every connection that a member has left, and each that becomes free,
// until release is called. It returns once the member refuses connections.
func fillConnections(d *deployment, m *standin.Member) (release func()) {
	stop := make(chan struct{})
	var filler sync.WaitGroup
	var held []net.Conn
	full := make(chan struct{})
	filler.Go(func() {
		defer func() {
			for _, c := range held {
				_ = c.Close()
			}
		}()
		filled := sync.OnceFunc(func() { close(full) })
		for {
			select {
			case <-stop:
				return
			default:
			}
			c, err := net.DialTimeout("tcp", m.Address(), time.Second)
			if err != nil {
				return // the member is gone
			}
			answer := make([]byte, 1)
			_, err = fmt.Fprintf(c, "START %s foreign\r\n", d.group.Name)
			if err == nil {
				_, err = c.Read(answer)
			}
			if err == nil && answer[0] == 'R' {
				held = append(held, c)
				continue
			}
			_ = c.Close()
			filled()
			time.Sleep(5 * time.Millisecond)
		}
	})
	Eventually(full, eventualTimeout).Should(BeClosed())
	return sync.OnceFunc(func() {
		close(stop)
		filler.Wait()
	})
}

var _ = Describe("a change of primary while all connections of the members are in use", func() {
	var (
		d       *deployment
		primary *standin.Member
		release func()
	)
	BeforeEach(func() {
		d = newDeployment(3, 10000)
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		time.Sleep(time.Second) // the holder learns of its claim and opens its connections
		var releases []func()
		for _, m := range d.group.Members() {
			releases = append(releases, fillConnections(d, m))
		}
		release = func() {
			for _, r := range releases {
				r()
			}
		}
		DeferCleanup(release)
		primary = d.group.Primary()
	})
	// completes expects that another member is promoted while the members are full, that no
	// replica stays paused, and that writes go on afterwards.
	completes := func() {
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).ShouldNot(Equal(primary.ID))
		for _, m := range d.group.Members() {
			if m != primary {
				Eventually(m.PausedTerm, eventualTimeout, pollInterval).Should(BeZero())
			}
		}
		release()
		Eventually(func() string { return d.instances[1].queryOnce("orders", "k1", "WRITE after x") }, eventualTimeout, pollInterval).Should(HavePrefix("DONE"))
	}
	// Guards against taking a member that refuses a new connection for a silent one.
	It("completes when it is planned", func() {
		d.store.PutMember(primary, "draining")
		completes()
	})
	It("completes when the primary goes silent", func() {
		primary.Kill()
		d.store.RemoveMember(primary.ID)
		completes()
	})
})
