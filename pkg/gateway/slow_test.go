package gateway_test

import (
	"net"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	slowSessions = 1000
	// slowSessionBytes is the memory that a session may use before its first
	// message is complete: buffers, goroutine and bookkeeping of both ends,
	// since client and instance share this process.
	slowSessionBytes = 24 << 10
)

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

var _ = Describe("a thousand clients that send a byte at a time", func() {
	// Guards against memory and goroutines held for clients that never
	// complete their first message, and against other clients having to wait
	// for them.
	It("are closed, take little memory, and do not block other clients", func() {
		d := newDeployment(1, 10000)
		before := heapBytes()
		message := "START orders k1\r\n"
		var slow []net.Conn
		for range slowSessions {
			c, err := net.Dial("tcp", d.instances[0].address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = c.Close() })
			slow = append(slow, c)
		}
		for i := range 4 {
			for _, c := range slow {
				_, err := c.Write([]byte(message[i : i+1]))
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(d.instances[0].queryOnce("orders", "k1", "READ a")).To(HavePrefix("ROW"))
			time.Sleep(100 * time.Millisecond)
		}
		Expect(heapBytes()).To(BeNumerically("<", before+slowSessions*slowSessionBytes))
		for _, c := range slow {
			Expect(c.SetReadDeadline(time.Now().Add(eventualTimeout))).To(Succeed())
			_, err := c.Read(make([]byte, 100))
			Expect(err).To(HaveOccurred())
			timeout, ok := err.(net.Error)
			Expect(ok && timeout.Timeout()).To(BeFalse(), "a session that never starts is closed")
		}
	})
})
