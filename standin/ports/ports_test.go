package ports

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	reserveOnly = "PORTS_TEST_RESERVE_ONLY"
	// testFirst and testLast bound a range that does not overlap that of Free, so
	// concurrent tests allocate none of its ports. Two processes allocate testCount of
	// its 40 ports each.
	testFirst, testLast, testCount = lastPort + 100, lastPort + 140, 15
)

// TestProcessesGetDifferentPorts guards against two concurrent test runs on one
// machine that allocate the same port: a member of one stack would then respond in
// place of the member of the same name in the other stack.
func TestProcessesGetDifferentPorts(t *testing.T) {
	g := NewWithT(t)
	if os.Getenv(reserveOnly) != "" {
		addresses, err := freeBetween(testFirst, testLast, testCount)
		g.Expect(err).NotTo(HaveOccurred())
		for _, address := range addresses {
			os.Stdout.WriteString(address + "\n")
		}
		_, _ = io.ReadAll(os.Stdin)
		return
	}
	one, two := reserveInChild(t), reserveInChild(t)
	for _, address := range two {
		g.Expect(one).NotTo(ContainElement(address))
	}
}

// reserveInChild starts a process that reserves ports until the test ends, and
// returns their addresses.
func reserveInChild(t *testing.T) []string {
	g := NewWithT(t)
	child := exec.Command(os.Args[0], "-test.run=^TestProcessesGetDifferentPorts$")
	child.Env = append(os.Environ(), reserveOnly+"=1")
	stdin, err := child.StdinPipe()
	g.Expect(err).NotTo(HaveOccurred())
	stdout, err := child.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(child.Start()).To(Succeed())
	lines := bufio.NewScanner(stdout)
	t.Cleanup(func() {
		_ = stdin.Close()
		_, _ = io.ReadAll(stdout)
		g.Expect(child.Wait()).To(Succeed())
	})
	var addresses []string
	for len(addresses) < testCount && lines.Scan() {
		addresses = append(addresses, lines.Text())
	}
	g.Expect(addresses).To(HaveLen(testCount))
	return addresses
}
