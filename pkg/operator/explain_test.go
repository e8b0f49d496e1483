package operator

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sampleLog is a collected log of three instances. Statement bb was relayed from
// entry1 to entry2 and refused there, just after the primary became unreachable. The
// first line has a log collector's prefix, the second is not JSON.
const sampleLog = `  1.0 entry1 {"event":"statement","id":"aa","instance":"entry1","kind":"read","level":"info","member":"m1","ms":12.5,"msg":"answered","time":"2026-05-26T07:42:10.000Z","workspace":"coop"}
not json
{"event":"change","group":"g1","instance":"entry3","msg":"primary is unreachable","time":"2026-05-26T07:42:11.000Z"}
{"code":"57P03","event":"statement","id":"bb","instance":"entry1","ms":800.1,"msg":"refused","reason":"group g1: no member can take the statement","relay":"entry2","time":"2026-05-26T07:42:11.200Z","verdict":"not run","workspace":"coop"}
{"code":"53400","event":"statement","id":"cc","instance":"entry1","ms":0.1,"msg":"refused","reason":"workspace coop is over its rate","time":"2026-05-26T07:42:11.300Z","verdict":"not run","workspace":"coop"}
{"code":"53400","event":"statement","id":"dd","instance":"entry1","ms":0.1,"msg":"refused","reason":"workspace farm is over its rate","time":"2026-05-26T07:42:11.400Z","verdict":"not run","workspace":"farm"}
{"code":"57P03","event":"statement","id":"bb","instance":"entry2","ms":799.0,"msg":"refused","reason":"group g1: no member can take the statement","time":"2026-05-26T07:42:11.100Z","verdict":"not run","workspace":"coop"}
{"afterEndMs":1012,"counts":{"coop":412,"farm":412},"covered":5,"event":"usage-fixed","gone":1,"goneRequests":31,"instance":"entry1","missing":2,"msg":"usage report fixed","own":true,"requests":824,"time":"2026-05-26T07:42:23.000Z","window":353445120}
{"by":"platform","error":"no answer","event":"usage-refused","instance":"entry1","msg":"report not accepted; retrying","requests":824,"time":"2026-05-26T07:42:24.000Z","window":353445120}
{"event":"duty","instance":"entry2","msg":"promotion duty claimed","time":"2026-05-26T07:42:26.000Z","token":14}
{"afterEndMs":5200,"counts":{"coop":412,"farm":412},"event":"usage-sent","instance":"entry2","msg":"usage report accepted","requests":824,"time":"2026-05-26T07:42:27.200Z","window":353445120}
{"event":"usage-given-up","instance":"entry2","last":353445103,"msg":"no usage report is sent","reason":"too-old","requests":0,"time":"2026-05-26T07:43:00.000Z","window":353445101}
`

var _ = Describe("mulberryctl explain", func() {
	run := func(args ...string) (string, string, int) {
		file := filepath.Join(GinkgoT().TempDir(), "all.log")
		Expect(os.WriteFile(file, []byte(sampleLog), 0o600)).To(Succeed())
		var out, errOut bytes.Buffer
		code := Run(context.Background(), append(append([]string{"explain"}, args...), file), &out, &errOut)
		return out.String(), errOut.String(), code
	}
	It("prints the lines of a relayed statement in order of time, with the primary change", func() {
		out, _, code := run("bb")
		Expect(code).To(Equal(ExitOK))
		lines := strings.Split(strings.TrimSpace(out), "\n")
		Expect(lines).To(HaveLen(3))
		Expect(lines[0]).To(ContainSubstring("primary is unreachable"))
		Expect(lines[1]).To(ContainSubstring("entry2"))
		Expect(lines[2]).To(ContainSubstring("relay=entry2"))
	})
	It("counts refusals by reason, regardless of the workspace", func() {
		out, _, code := run("--refused")
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(MatchRegexp(`2  53400  not run +workspace workspace is over its rate, for example cc`))
	})
	It("lists the slowest statements", func() {
		out, _, _ := run("--slowest", "1")
		Expect(out).To(HavePrefix("07:42:11.200 entry1"))
		Expect(strings.Count(out, "\n")).To(Equal(1))
	})
	It("explains the usage report of a window, also if it is in a range that was given up", func() {
		out, _, code := run("--window", "353445120")
		Expect(code).To(Equal(ExitOK))
		lines := strings.Split(strings.TrimSpace(out), "\n")
		Expect(lines).To(HaveLen(5))
		Expect(lines[0]).To(HavePrefix("> 07:42:23.000 entry1"))
		Expect(lines[0]).To(ContainSubstring(`counts={"coop":412,"farm":412}`))
		Expect(lines[0]).To(ContainSubstring("window=353445120"))
		Expect(lines[2]).To(And(HavePrefix("  "), ContainSubstring("promotion duty claimed")), "why another instance went on")
		Expect(lines[4]).To(Equal("The report was fixed by entry1 with 824 requests, 1012 ms after the end of the window. " +
			"It covers 5 sources; 31 requests come from 1 sources that are gone. 2 live sources did not answer in time, so that it is a lower bound. " +
			"The platform accepted it from entry2, 5200 ms after the end of the window. 1 calls of the store or the platform were refused or not answered."))
		out, _, code = run("--window", "353445102")
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(HaveSuffix("Nothing was sent: no usage report is sent (too-old).\n"))
		_, errOut, code := run("--window", "5")
		Expect(code).To(Equal(ExitFailure))
		Expect(errOut).To(ContainSubstring("no line on window 5"))
	})
	It("fails for an unknown statement ID", func() {
		_, errOut, code := run("zz")
		Expect(code).To(Equal(ExitFailure))
		Expect(errOut).To(ContainSubstring("no line on statement zz"))
	})
	It("exits with the usage code without a statement ID", func() {
		var out, errOut bytes.Buffer
		Expect(Run(context.Background(), []string{"explain"}, &out, &errOut)).To(Equal(ExitUsage))
	})
})
