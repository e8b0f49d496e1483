package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

const settings = `id: entry1
zone: z1
clientAddress: "127.0.0.1:7001"
readinessAddress: "127.0.0.1:7002"
peerAddress: "127.0.0.1:7003"
storeAddress: "127.0.0.1:7004"
dutyAddress: "127.0.0.1:7005"
`

// Guards against a process that ends because it is told to reload while it still reads its
// settings for the first time.
func TestReloadDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	g := NewWithT(t)
	directory := t.TempDir()
	binary, path := filepath.Join(directory, "mulberrygate"), filepath.Join(directory, "gate.yaml")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	g.Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
	process := exec.Command(binary, "--config", path, "--check")
	process.Stderr = os.Stderr
	g.Expect(process.Start()).To(Succeed())
	defer func() { _ = process.Process.Kill() }()
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process opens it, too
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(process.Process.Signal(syscall.SIGHUP)).To(Succeed())
	_, err = file.WriteString(settings)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(file.Close()).To(Succeed())
	g.Expect(process.Wait()).To(Succeed())
}
