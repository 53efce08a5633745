package measure

import (
	"fmt"
	"runtime"
	"time"

	"fieldvale/adapter/codec"
	"fieldvale/bill"
	"fieldvale/version"
)

// heldRecordCounts lists the numbers of held records for which the memory is
// measured.
var heldRecordCounts = []int{10_000, 50_000, 150_000}

// ledgerLineCounts lists the numbers of ledger lines for which the encoded size is
// measured.
var ledgerLineCounts = []int{10, 100, 1000}

// Bills measures the memory that held billing records use and the size of a
// ledger in the store.
func Bills(r *Report) error {
	for _, n := range heldRecordCounts {
		b := heapOf(func() any { return newFilledBook(n) })
		r.Add("bills", fmt.Sprint(n), "heap_of_held_records", b/1e6, "MB")
		r.Add("bills", fmt.Sprint(n), "heap_of_a_record", b/float64(n), "bytes")
	}
	for _, n := range ledgerLineCounts {
		l := bill.NewLedger("owner")
		for i := range n {
			l = l.With(bill.Record{Owner: "owner", Seq: uint64(i + 1), Line: bill.Line{Team: "shared-memory", Customer: fmt.Sprint("customer-", i), Version: version.New("lingua-small", "1")}, Amount: bill.Amount{Requests: 1000, TokensIn: 1e6, TokensOut: 1e6, Cost: 1e6}})
		}
		b, err := codec.EncodeLedger(l)
		if err != nil {
			return err
		}
		r.Add("bills", fmt.Sprint(n), "ledger_in_the_store", float64(len(b))/1000, "kB")
	}
	return nil
}

// newFilledBook returns a book that holds n records.
func newFilledBook(n int) *bill.HeldRecords {
	book := bill.NewHeldRecords()
	now := time.Now()
	for i := range n {
		book.Hold(bill.Record{RequestID: fmt.Sprintf("fieldvale-%036d", i), Owner: "owner", Seq: uint64(i), Line: bill.Line{Team: "t", Customer: "c", Version: version.New("m", "1")}}, now)
	}
	return book
}

// heapOf returns the number of heap bytes that the value built by build retains.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
