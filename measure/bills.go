package measure

import (
	"fmt"
	"runtime"
	"time"

	"fieldvale/adapter/codec"
	"fieldvale/bill"
	"fieldvale/version"
)

// bookSizes are the numbers of held records that are measured.
var bookSizes = []int{10_000, 50_000, 150_000}

// ledgerLines are the numbers of lines of a ledger that are measured.
var ledgerLines = []int{10, 100, 1000}

// Bills measures what held records take in memory and a ledger in the store.
func Bills(r *Report) error {
	for _, n := range bookSizes {
		b := heapOf(func() any { return fullBook(n) })
		r.Add("bills", fmt.Sprint(n), "heap_of_held_records", b/1e6, "MB")
		r.Add("bills", fmt.Sprint(n), "heap_of_a_record", b/float64(n), "bytes")
	}
	for _, n := range ledgerLines {
		l := bill.NewLedger("owner")
		for i := range n {
			l = l.With(bill.Record{Owner: "owner", Seq: uint64(i + 1), Line: bill.Line{Team: "shared-memory", Customer: fmt.Sprint("customer-", i), Version: version.New("lingua-small", "1")}, Add: bill.Amount{Requests: 1000, TokensIn: 1e6, TokensOut: 1e6, Cost: 1e6}})
		}
		b, err := codec.EncodeLedger(l)
		if err != nil {
			return err
		}
		r.Add("bills", fmt.Sprint(n), "ledger_in_the_store", float64(len(b))/1000, "kB")
	}
	return nil
}

func fullBook(n int) *bill.Book {
	b := bill.NewBook()
	now := time.Now()
	for i := range n {
		b.Hold(bill.Record{RequestID: fmt.Sprintf("fieldvale-%036d", i), Owner: "owner", Seq: uint64(i), Line: bill.Line{Team: "t", Customer: "c", Version: version.New("m", "1")}}, now)
	}
	return b
}

// heapOf returns the bytes that what f makes keeps on the heap.
func heapOf(f func() any) float64 {
	var a, b runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&a)
	x := f()
	runtime.GC()
	runtime.ReadMemStats(&b)
	runtime.KeepAlive(x)
	return float64(b.HeapAlloc) - float64(a.HeapAlloc)
}
