package faults

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

func TestDebug(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("SEED"))
	l := severalFaults().Example(n)
	synctest.Test(t, func(t *testing.T) {
		d := newDay(t)
		d.w.Log = func(i, e string, f ...any) {
			if e == "load_unknown" || e == "exchange_failed" {
				return
			}
			fmt.Println(time.Since(d.started), i, e, f)
		}
		_ = context.Background
		run(d, l)
		for _, b := range d.bad {
			fmt.Println("BAD", b)
		}
	})
}
