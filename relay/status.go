package relay

// status is the status of an answer or the result of a query.
type status int

const (
	// statusOK: the answer has the changes after the queried revision.
	statusOK status = iota
	// statusFetchSnapshot: the follower is too far behind and has to fetch a snapshot.
	statusFetchSnapshot
	// statusDisconnected: the answering instance has no current state.
	statusDisconnected
	// statusTooLarge: the changes exceed maxPackedBytes and have to be fetched.
	statusTooLarge
	// statusStarting: the answering instance is about to have a snapshot.
	statusStarting
	// statusNoAnswer: no answer arrived. It is never sent.
	statusNoAnswer
	// statusBusy: the link has no capacity for the changes.
	statusBusy
	// statusWaiting: the answering instance is starting and waits for others, perhaps for this one.
	// It is never sent.
	statusWaiting
)

// String returns the status as it is logged.
func (s status) String() string {
	switch s {
	case statusOK:
		return "ok"
	case statusFetchSnapshot:
		return "fetch_snapshot"
	case statusDisconnected:
		return "disconnected"
	case statusTooLarge:
		return "too_large"
	case statusStarting:
		return "starting"
	case statusNoAnswer:
		return "no_answer"
	case statusBusy:
		return "busy"
	case statusWaiting:
		return "waiting"
	}
	return "unknown"
}
