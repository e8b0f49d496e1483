package gateway

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/verdict"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// Guards against an instance that exceeds its memory because others relay large statements to
// it, and against refusals after which a sender cannot tell whether a statement has run.
func TestLargeRelayedStatementsAreBounded(t *testing.T) {
	g := NewWithT(t)
	gw := instanceWithSpec(ordersSpec(1, nil))
	gw.relayedMemory, gw.transactionMemory = newInputMemory(4<<20, 1), newInputMemory(4<<20, 1)
	server := httptest.NewServer(gw.limitRelayedInput(gw.peers.handler()))
	defer server.Close()
	client := pb.NewGateProtobufClient(server.URL, server.Client())
	run := func(ctx context.Context, size int) (*pb.RunResponse, error) {
		return client.Run(ctx, &pb.RunRequest{Database: "orders", Key: "k", Text: strings.Repeat("x", size)})
	}
	isBusy := func(r *pb.RunResponse) bool {
		return r.Code == string(verdict.QueueFull) && r.Verdict == uint32(verdict.NotRun) && strings.Contains(r.Message, "large statements")
	}
	held := gw.relayedMemory.acquire("a", 4<<20)
	r, err := run(context.Background(), 500_000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(isBusy(r)).To(BeTrue(), "%v", r)
	for _, call := range []struct {
		ctx  context.Context
		size int
	}{{context.Background(), 1000}, {markOpenTransaction(context.Background()), 500_000}} {
		r, err = run(call.ctx, call.size)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(isBusy(r)).To(BeFalse(), "%v", r)
	}
	gw.transactionMemory.acquire("a", 4<<20)
	_, err = run(markOpenTransaction(context.Background()), 500_000)
	g.Expect(err).To(HaveOccurred(), "the sender rolls the transaction back")

	gw.relayedMemory.release(held)
	for range 5 {
		r, err = run(context.Background(), 500_000)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(isBusy(r)).To(BeFalse(), "%v", r)
	}
}
