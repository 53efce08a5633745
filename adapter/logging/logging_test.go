package logging_test

import (
	"os"
	"strings"

	"fieldvale/adapter/logging"
)

// timeRemover writes lines to the standard output without their first field, the time, which
// differs in each run.
type timeRemover struct{}

func (timeRemover) Write(b []byte) (int, error) {
	_, s, _ := strings.Cut(string(b), " ")
	return os.Stdout.WriteString(s)
}

func ExampleNew() {
	l, err := logging.New(timeRemover{}, "info", logging.Fields("process", "fieldvale-entry"))
	if err != nil {
		return
	}
	l.WithFields(logging.Fields("request", "r-1", "error", `dial: "refused"`)).Warn("attempt_failed")
	l.Debug("not_shown")
	// Output: level=warn event=attempt_failed error="dial: \"refused\"" process=fieldvale-entry request=r-1
}
