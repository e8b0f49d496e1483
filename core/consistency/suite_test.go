package consistency_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConsistency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "consistency")
}
