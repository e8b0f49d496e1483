package consistency_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

var _ = Describe("a session token", func() {
	key := []byte("0123456789abcdef0123456789abcdef")
	token := consistency.Token{Group: "orders", Workspace: "loja", Position: group.Position{Term: 7, Index: 1 << 40}}

	It("decodes to the token that was signed, for any names: a lost or altered floor", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			in := consistency.Token{
				Group: rapid.StringN(0, 50, 200).Draw(t, "group"), Workspace: rapid.StringN(0, 50, 200).Draw(t, "workspace"),
				Position: group.Position{Term: rapid.Uint64().Draw(t, "term"), Index: rapid.Uint64().Draw(t, "index")},
			}
			text := consistency.Sign(key, in)
			if out, err := consistency.Verify(key, text, in.Group, in.Workspace); err != nil || out != in {
				t.Fatalf("got %v, %v", out, err)
			}
			if strings.ContainsAny(text, " \\'=") {
				t.Fatalf("%q needs quoting in a startup option", text)
			}
		})
	})
	It("is refused after any change of a character: a forged floor", func() {
		text := consistency.Sign(key, token)
		for i := range text {
			for _, c := range "AB_" {
				forged := text[:i] + string(c) + text[i+1:]
				if forged == text {
					continue
				}
				_, err := consistency.Verify(key, forged, token.Group, token.Workspace)
				Expect(err).To(HaveOccurred(), "character %d", i)
			}
		}
	})
	DescribeTable("is refused with SQLSTATE 22023 and the verdict NotRun",
		func(key []byte, text, groupName, workspace string) {
			_, err := consistency.Verify(key, text, groupName, workspace)
			Expect(err).To(HaveOccurred())
			Expect(verdict.FromError(err).Code).To(Equal(verdict.InvalidParameter))
			Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
		},
		Entry("for another workspace", key, consistency.Sign(key, token), "orders", "outra"),
		Entry("for another group", key, consistency.Sign(key, token), "stock", "loja"),
		Entry("under another key", []byte("other"), consistency.Sign(key, token), "orders", "loja"),
		Entry("when it is empty", key, "", "orders", "loja"),
		Entry("when it is not base64", key, "%%%", "orders", "loja"),
		Entry("when it is too long", key, strings.Repeat("A", 5000), "orders", "loja"),
	)
})
