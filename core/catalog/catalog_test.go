package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

var _ = Describe("authorization", func() {
	spec := catalog.Spec{
		Version: 3,
		Routes: []catalog.Route{
			{Name: "r1", Database: "orders", Group: "g1"},
			{Name: "r2", Database: "news", Group: "g1", Open: true},
		},
		Workspaces: []catalog.Workspace{{Name: "coop", Keys: []string{"k1", "k2"}}},
	}
	compiled, err := catalog.Compile(spec)
	It("accepts the spec", func() { Expect(err).NotTo(HaveOccurred()) })

	DescribeTable("authorizes or refuses a client",
		func(database, key, workspace string, code verdict.Code) {
			_, w, err := compiled.Authorize(database, key)
			if code != "" {
				Expect(verdict.FromError(err).Code).To(Equal(code))
				Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(w.Name).To(Equal(workspace))
		},
		Entry("with the second key of a workspace", "orders", "k2", "coop", verdict.Code("")),
		Entry("with a withdrawn key: it must not run", "orders", "k9", "", verdict.AuthenticationFailed),
		Entry("without a key on a route that needs one", "orders", "", "", verdict.AuthenticationFailed),
		Entry("without a key on an open route", "news", "", "anonymous", verdict.Code("")),
		Entry("for a database without a route", "none", "k1", "", verdict.NoSuchRoute),
	)
	// Guards against statements that no client has sent: the name is part of a message to
	// each member, and a line break in it would begin a further message.
	It("refuses only the clients of a workspace whose name cannot be sent to members", func() {
		odd := spec
		odd.Workspaces = append([]catalog.Workspace{{Name: "a\r\nQUERY 1 WRITE a b", Keys: []string{"k3"}}, {Name: "a b", Keys: []string{"k4"}}, {Keys: []string{"k5"}}}, spec.Workspaces...)
		compiled, err := catalog.Compile(odd)
		Expect(err).NotTo(HaveOccurred())
		for _, key := range []string{"k3", "k4", "k5"} {
			for _, database := range []string{"orders", "news"} {
				_, _, err := compiled.Authorize(database, key)
				Expect(verdict.FromError(err).Code).To(Equal(verdict.InvalidAuthorization), key)
				Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
			}
		}
		_, w, err := compiled.Authorize("orders", "k1")
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Name).To(Equal("coop"))
	})
	It("refuses a key that two workspaces share: clients of one would run as the other", func() {
		twice := spec
		twice.Workspaces = append(twice.Workspaces, catalog.Workspace{Name: "other", Keys: []string{"k1"}})
		_, err := catalog.Compile(twice)
		Expect(err).To(MatchError(ContainSubstring("have a key in common")))
	})
	It("refuses a database with two routes and a spec without a version", func() {
		twice := spec
		twice.Routes = append(twice.Routes, catalog.Route{Database: "orders"})
		_, err := catalog.Compile(twice)
		Expect(err).To(HaveOccurred())
		_, err = catalog.Compile(catalog.Spec{})
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("the lease on the configuration", func() {
	It("is not valid before the first confirmation", func() {
		Expect((&catalog.Lease{MaxAge: time.Second}).Valid(0)).To(BeFalse())
	})
	It("expires MaxAge after the request was sent, not after the answer arrived", func() {
		l := catalog.Lease{MaxAge: 4 * time.Second}
		l.Confirm(10 * time.Second)
		Expect(l.Valid(13 * time.Second)).To(BeTrue())
		Expect(l.Valid(14 * time.Second)).To(BeFalse())
	})
	It("is not shortened by a late answer to an older request", func() {
		l := catalog.Lease{MaxAge: 4 * time.Second}
		l.Confirm(10 * time.Second)
		l.Confirm(8 * time.Second)
		Expect(l.Valid(13 * time.Second)).To(BeTrue())
	})
})
