package config_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/pkg/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const validSettings = `id: entry-1
zone: escazu
clientAddress: 127.0.0.1:6000
peerAddress: 127.0.0.1:6001
adminAddress: 127.0.0.1:6002
metricsAddress: 127.0.0.1:6003
platformURL: http://127.0.0.1:7000
trustedKeys: {ana: AAAA}
sessionTokenKeyFile: a
peerSecretFile: b
adminTokenFile: c
`

var _ = Describe("settings", func() {
	It("accepts a complete file and sets defaults", func() {
		s, err := config.Parse("x.yaml", []byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.DrainTimeout).To(Equal(config.Duration(config.DefaultDrainTimeout)))
	})

	It("reports the file, line and field of all invalid values at once", func() {
		_, err := config.Parse("x.yaml", []byte("id: a\nzone: b\nclientAddress: localhost:1\n"))
		Expect(err).To(MatchError(ContainSubstring("x.yaml:3: clientAddress:")))
		Expect(err).To(MatchError(ContainSubstring("platformURL:")))
	})

	It("rejects an unknown field instead of ignoring it", func() {
		_, err := config.Parse("x.yaml", []byte(validSettings+"drainTimeOut: 3s\n"))
		Expect(err).To(MatchError(ContainSubstring("drainTimeOut")))
	})

	It("rejects a duration without a unit", func() {
		_, err := config.Parse("x.yaml", []byte(validSettings+"drainTimeout: 30\n"))
		Expect(err).To(MatchError(ContainSubstring("unit")))
	})
})
