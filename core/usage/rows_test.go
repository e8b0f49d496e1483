package usage_test

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/usage"
)

func workspaces(n int) usage.Counts {
	counts := usage.Counts{}
	for i := range n {
		counts[fmt.Sprintf("workspace%05d", i)] = uint64(i + 1)
	}
	return counts
}

var _ = Describe("rows of a report", func() {
	It("hold the report of a large site in rows that the store accepts, and give it back in any order", func() {
		report := usage.Report{Window: 353445120, Counts: workspaces(13000)}
		rows, err := report.EncodeRows(3, 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(rows)).To(BeNumerically(">", 1))
		for _, row := range rows {
			Expect(len(row.Value)).To(BeNumerically("<=", usage.MaxRowBytes))
		}
		slices.Reverse(rows)
		reports, err := usage.ParseRows(rows)
		Expect(err).NotTo(HaveOccurred())
		Expect(reports).To(Equal([]usage.FixedReport{{Report: report, Era: 3, Rows: len(rows), AcceptedBefore: 5}}))
		keys := reports[0].RowKeys()
		for i, row := range rows {
			Expect(row.Key).To(Equal(keys[len(keys)-1-i]))
		}
	})
	It("are the same each time, so that a repeated report is an exact repeat", func() {
		first, err := usage.Report{Window: 7, Counts: workspaces(9000)}.EncodeRows(0, 0)
		Expect(err).NotTo(HaveOccurred())
		for range 10 {
			again, err := usage.Report{Window: 7, Counts: workspaces(9000)}.EncodeRows(0, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(again).To(Equal(first))
		}
	})
	It("keep the limit for names that JSON must escape", func() {
		counts := usage.Counts{}
		for i := range 4000 {
			counts[fmt.Sprintf("\x01<\x02>%d", i)] = 1
		}
		rows, err := usage.Report{Window: 7, Counts: counts}.EncodeRows(1<<15, 0)
		Expect(err).NotTo(HaveOccurred())
		for _, row := range rows {
			Expect(len(row.Value)).To(BeNumerically("<=", usage.MaxRowBytes))
		}
	})
	It("are refused for a report that does not fit into one transaction", func() {
		_, err := usage.Report{Window: 7, Counts: workspaces(60000)}.EncodeRows(0, 0)
		Expect(err).To(MatchError(usage.ErrTooLarge))
	})
	It("are no report while one is missing, repeated or unreadable, and the other windows are returned", func() {
		rows, err := usage.Report{Window: 7, Counts: workspaces(9000)}.EncodeRows(0, 0)
		Expect(err).NotTo(HaveOccurred())
		other, err := usage.Report{Window: 8, Counts: usage.Counts{"a": 1}}.EncodeRows(0, 0)
		Expect(err).NotTo(HaveOccurred())
		for _, damaged := range [][]usage.Row{
			rows[1:],
			append(rows[:len(rows):len(rows)], rows[0]),
			append(rows[1:len(rows):len(rows)], usage.Row{Key: usage.RowKey(7, 0), Value: []byte("{")}),
		} {
			reports, err := usage.ParseRows(append(damaged, other...))
			undecodable := new(usage.UndecodableError)
			Expect(errors.As(err, &undecodable)).To(BeTrue())
			Expect(undecodable.Windows).To(Equal(map[usage.Window]int{7: len(rows)}))
			Expect(reports).To(HaveLen(1))
			Expect(reports[0].Window).To(Equal(usage.Window(8)))
		}
	})
	It("are sorted by window", func() {
		Expect(usage.RowKey(99999, 14) < usage.RowKey(100000, 0)).To(BeTrue())
	})
})
