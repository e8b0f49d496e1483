package devstack_test

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDevstack(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "devstack")
}

var binDir string

var _ = BeforeSuite(func() { binDir = binaries(GinkgoT().TempDir()) })

// binaries builds devstack and the binaries that it starts into the directory.
func binaries(dir string) string {
	root, err := filepath.Abs("../..")
	Expect(err).NotTo(HaveOccurred())
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/devstack", "./cmd/devmember", "./cmd/devplatform",
		"./cmd/mulberrysill", "./cmd/mulberryctl")
	build.Dir = root
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), "%s", out)
	return dir
}

// startTimeout is sufficient to start 16 processes on a loaded machine.
const startTimeout = 90 * time.Second

var _ = Describe("devstack", func() {
	for _, deployment := range []string{"velacruz", "armacao"} {
		// Guards against a deployment that serves no queries, and against child
		// processes that keep running after devstack has exited.
		It("serves queries and stops every child: "+deployment, func() {
			directory := GinkgoT().TempDir()
			cmd := exec.Command(filepath.Join(binDir, "devstack"), "run", "--deployment", deployment, "--directory", directory)
			stdout, err := cmd.StdoutPipe()
			Expect(err).NotTo(HaveOccurred())
			cmd.Stderr = GinkgoWriter
			Expect(cmd.Start()).To(Succeed())
			exited := make(chan error, 1)
			DeferCleanup(func() { _ = cmd.Process.Kill() })
			lines := make(chan string, 1)
			go func() {
				scanner := bufio.NewScanner(stdout)
				for scanner.Scan() {
					lines <- scanner.Text()
				}
				exited <- cmd.Wait()
			}()
			var line string
			Eventually(lines).WithTimeout(startTimeout).Should(Receive(&line))
			url, ok := strings.CutPrefix(line, "ready: ")
			Expect(ok).To(BeTrue(), line)

			ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
			defer cancel()
			conn, err := pgx.Connect(ctx, url)
			Expect(err).NotTo(HaveOccurred())
			_, err = conn.Exec(ctx, "CREATE TABLE t (n INTEGER)")
			Expect(err).NotTo(HaveOccurred())
			_, err = conn.Exec(ctx, "INSERT INTO t VALUES ($1)", 7)
			Expect(err).NotTo(HaveOccurred())
			var n int
			Expect(conn.QueryRow(ctx, "SELECT n FROM t").Scan(&n)).To(Succeed())
			Expect(n).To(Equal(7))
			Expect(conn.Close(ctx)).To(Succeed())

			data, err := os.ReadFile(filepath.Join(directory, "processes.json"))
			Expect(err).NotTo(HaveOccurred())
			pids := map[string]int{}
			Expect(json.Unmarshal(data, &pids)).To(Succeed())
			Expect(pids).To(HaveLen(1 + 9 + 6))
			Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
			Eventually(exited).WithTimeout(startTimeout).Should(Receive(BeNil()))
			for name, pid := range pids {
				Expect(syscall.Kill(pid, 0)).To(Equal(syscall.ESRCH), name)
			}
		})
	}
})
