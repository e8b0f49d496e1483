package devstack_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	"github.com/mulberrysill/mulberrysill/rpc/admin"
)

// TestMain lets the test binary serve as mulberryctl.
func TestMain(m *testing.M) {
	if filepath.Base(os.Args[0]) != "mulberryctl" {
		os.Exit(m.Run())
	}
	if err := publish(os.Args[1:]); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

// publish acts as "mulberryctl bundle publish".
func publish(args []string) error {
	url := args[slices.Index(args, "--admin")+1]
	token, err := os.ReadFile(args[slices.Index(args, "--token-file")+1])
	if err != nil {
		return err
	}
	signed, err := os.ReadFile(args[len(args)-1])
	if err != nil {
		return err
	}
	header := http.Header{"Authorization": {"Bearer " + strings.TrimSpace(string(token))}}
	ctx, err := twirp.WithHTTPRequestHeaders(context.Background(), header)
	if err != nil {
		return err
	}
	_, err = admin.NewAdminProtobufClient(url, http.DefaultClient).
		Publish(ctx, &admin.PublishRequest{Signed: signed, PublishId: "devstack"})
	return err
}

func TestDevstack(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "devstack")
}

var binDir string

// The binaries are built once for all specs.
var _ = BeforeSuite(func() { binDir = binaries(GinkgoT().TempDir()) })

// binaries builds what devstack starts into the directory.
func binaries(dir string) string {
	root, err := filepath.Abs("../..")
	Expect(err).NotTo(HaveOccurred())
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/devstack", "./cmd/devmember", "./cmd/devplatform", "./cmd/mulberrysill")
	build.Dir = root
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), "%s", out)
	self, err := os.Executable()
	Expect(err).NotTo(HaveOccurred())
	Expect(os.Symlink(self, filepath.Join(dir, "mulberryctl"))).To(Succeed())
	return dir
}

// startTimeout covers the start of 16 processes on a busy machine.
const startTimeout = 90 * time.Second

var _ = Describe("devstack", func() {
	for _, deployment := range []string{"velacruz", "armacao"} {
		// Guards against a deployment that does not serve, and against children
		// that outlive devstack.
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
