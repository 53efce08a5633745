package answerbuffer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"fieldvale/answerbuffer"
)

func ExampleQueue() {
	b := answerbuffer.NewBudget(1<<20, 64<<10)
	q := b.NewQueue()
	for _, e := range []string{"one", "two"} {
		if err := q.Put(context.Background(), []byte(e)); err != nil {
			fmt.Println(err)
		}
	}
	q.Close()
	for {
		p, err := q.Next(context.Background())
		if err != nil {
			fmt.Println(err)
			break
		}
		fmt.Println(string(p))
	}
	fmt.Println(b.Held(), "bytes held")
	// Output:
	// one
	// two
	// EOF
	// 0 bytes held
}

// Pieces must arrive unchanged, in order and unmerged for any sizes, limits and speeds, and the
// buffers of several answers together must never hold more than the shared limit.
func TestPiecesArriveUnchangedWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(1, 4000).Draw(t, "total")
		b := answerbuffer.NewBudget(total, rapid.Int64Range(1, 2000).Draw(t, "answer"))
		answers := rapid.SliceOfN(rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 300), 0, 30), 1, 6).Draw(t, "answers")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 3), len(answers), len(answers)).Draw(t, "pauses")
		var exceeded atomic.Bool
		var g sync.WaitGroup
		got := make([][][]byte, len(answers))
		for i, a := range answers {
			q := b.NewQueue()
			g.Go(func() {
				for _, p := range a {
					if err := q.Put(context.Background(), p); err != nil {
						t.Errorf("Put: got error %v, want none", err)
					}
				}
				q.Close()
			})
			g.Go(func() {
				for n := 0; ; n++ {
					p, err := q.Next(context.Background())
					if err != nil {
						return
					}
					if h := b.Held(); h > total {
						exceeded.Store(true)
					}
					if pauses[i] > 0 && n%4 == 0 {
						time.Sleep(time.Duration(pauses[i]) * 10 * time.Microsecond)
					}
					got[i] = append(got[i], p)
				}
			})
		}
		g.Wait()
		if exceeded.Load() {
			t.Errorf("got more than %d bytes held, want at most these", total)
		}
		if b.Held() != 0 {
			t.Errorf("got %d bytes held at the end, want 0", b.Held())
		}
		for i := range answers {
			if len(got[i]) != len(answers[i]) {
				t.Fatalf("answer %d: got %d pieces, want %d", i, len(got[i]), len(answers[i]))
			}
			for j := range answers[i] {
				if !bytes.Equal(got[i][j], answers[i][j]) {
					t.Fatalf("answer %d, piece %d: got %q, want %q", i, j, got[i][j], answers[i][j])
				}
			}
		}
	})
}

// putAll puts n pieces of size bytes and returns how many were accepted before ctx ended.
func putAll(ctx context.Context, q *answerbuffer.Queue, n, size int) int {
	for i := range n {
		if q.Put(ctx, make([]byte, size)) != nil {
			return i
		}
	}
	return n
}

// A limit that counted only the bytes of pieces would be exceeded several times by an answer of
// many short events.
func TestLimitOfOneAnswer(t *testing.T) {
	b := answerbuffer.NewBudget(1<<20, 4<<10)
	q := b.NewQueue()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	n := putAll(ctx, q, 1000, 1)
	if n < 20 || n > 100 || b.Held() > 4<<10 {
		t.Errorf("got %d pieces accepted and %d bytes held, want 20 to 100 pieces and at most 4096 bytes", n, b.Held())
	}
	if q.Shortage() != answerbuffer.AnswerLimit {
		t.Errorf("got shortage %s, want answer", q.Shortage())
	}
}

// An answer without room must proceed piece by piece as its client reads, even if the others hold
// all of the shared memory for good.
func TestAnswerProceedsWithoutRoom(t *testing.T) {
	b := answerbuffer.NewBudget(2000, 2000)
	full := b.NewQueue()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	putAll(ctx, full, 100, 200)
	q := b.NewQueue()
	done := make(chan int, 1)
	go func() { done <- putAll(t.Context(), q, 50, 1000); q.Close() }()
	n := 0
	for ; ; n++ {
		if _, err := q.Next(t.Context()); err != nil {
			break
		}
	}
	if accepted := <-done; accepted != 50 || n != 50 {
		t.Errorf("got %d pieces accepted and %d read, want 50 and 50", accepted, n)
	}
	if q.Shortage() != answerbuffer.SharedLimit {
		t.Errorf("got shortage %s, want instance", q.Shortage())
	}
}

// A piece without room must be accepted as soon as another answer frees memory: its own client may
// never read, and the replica would wait until then.
func TestFreedMemoryGoesToWaitingAnswer(t *testing.T) {
	b := answerbuffer.NewBudget(1200, 1200)
	other := b.NewQueue()
	if err := other.Put(t.Context(), make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	q := b.NewQueue()
	done := make(chan error, 1)
	go func() { done <- q.Put(t.Context(), make([]byte, 1000)) }()
	if _, err := q.Next(t.Context()); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-done:
		t.Fatalf("got Put done with %v while there was no room and the piece not written, want it to wait", err)
	case <-time.After(20 * time.Millisecond):
	}
	other.Stop(io.ErrClosedPipe)
	select {
	case err := <-done:
		if err != nil || b.Held() == 0 {
			t.Errorf("got error %v and %d bytes held, want none and the piece's memory", err, b.Held())
		}
	case <-time.After(5 * time.Second):
		t.Fatal("Put did not return after memory was freed")
	}
	q.Stop(io.ErrClosedPipe)
	if b.Held() != 0 {
		t.Errorf("got %d bytes held after Stop, want 0", b.Held())
	}
}

// A reader that waits for its writer must end as soon as the writer stops or the request ends;
// otherwise the run at the replica would go on for a client that left.
func TestWaitingPutEnds(t *testing.T) {
	b := answerbuffer.NewBudget(100, 100)
	left := errors.New("the client left")
	for _, c := range []struct {
		name string
		end  func(*answerbuffer.Queue, context.CancelFunc)
		want error
	}{
		{"stopped", func(q *answerbuffer.Queue, _ context.CancelFunc) { q.Stop(left) }, left},
		{"canceled", func(_ *answerbuffer.Queue, cancel context.CancelFunc) { cancel() }, context.Canceled},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		q := b.NewQueue()
		done := make(chan error, 1)
		go func() { done <- q.Put(ctx, make([]byte, 1000)) }()
		time.Sleep(10 * time.Millisecond)
		c.end(q, cancel)
		select {
		case err := <-done:
			if !errors.Is(err, c.want) {
				t.Errorf("%s: got error %v, want %v", c.name, err, c.want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: Put did not return", c.name)
		}
		cancel()
	}
}

// An event must reach a client that reads within a millisecond; compare ns/op with that.
func BenchmarkLatency(b *testing.B) {
	q := answerbuffer.NewBudget(1<<20, 64<<10).NewQueue()
	seen := make(chan struct{})
	go func() {
		for {
			if _, err := q.Next(b.Context()); err != nil {
				return
			}
			seen <- struct{}{}
		}
	}()
	event := make([]byte, 100)
	for b.Loop() {
		if err := q.Put(b.Context(), event); err != nil {
			b.Fatal(err)
		}
		<-seen
	}
	q.Close()
}

// Memory that is granted at the moment when the waiting piece was written must be given back;
// otherwise the shared memory shrinks until no answer finds room.
func TestGrantAtWriteIsGivenBack(t *testing.T) {
	b := answerbuffer.NewBudget(1200, 1200)
	for range 5000 {
		other, q := b.NewQueue(), b.NewQueue()
		if err := other.Put(t.Context(), make([]byte, 1000)); err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- q.Put(t.Context(), make([]byte, 1000)) }()
		if _, err := q.Next(t.Context()); err != nil {
			t.Fatal(err)
		}
		var g sync.WaitGroup
		g.Go(func() { other.Stop(io.ErrClosedPipe) })
		g.Go(func() { q.Close(); _, _ = q.Next(t.Context()) })
		g.Wait()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if b.Held() != 0 {
			t.Fatalf("got %d bytes held after both answers ended, want 0", b.Held())
		}
	}
}
