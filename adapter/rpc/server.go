package rpc

import (
	"net"
	"net/http"
	"time"

	"fieldvale/adapter/socket"
)

const (
	// headerTimeout bounds the time to read a request's header, and maxHeaderBytes its size in bytes.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// serverIdleTimeout is how long a server keeps an idle connection. Clients close theirs before.
	serverIdleTimeout = 3 * idleConnTimeout
)

// NewServer returns a server for requests of fieldvale's own processes. It also accepts
// HTTP/1, so that operators can use curl.
func NewServer(h http.Handler) *http.Server {
	p := protocols()
	p.SetHTTP1(true)
	return &http.Server{
		Handler: h, Protocols: p, ReadHeaderTimeout: headerTimeout, IdleTimeout: serverIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: socket.WithLimit, ConnState: markIdle,
	}
}

// markIdle marks connections that wait for their next request.
func markIdle(c net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		socket.MarkIdle(c)
	}
}

// serveTrusted serves a request whose key is valid. Its connection doesn't give way to others any more.
func serveTrusted(h http.Handler, w http.ResponseWriter, q *http.Request) {
	if err := socket.LimitFrom(q.Context()).Trust(); err != nil {
		panic(http.ErrAbortHandler)
	}
	h.ServeHTTP(w, q)
}

// reject responds with status 401 and closes the connection. The rest of the request is not read, and until the connection
// is closed it gives way to others.
func reject(w http.ResponseWriter, q *http.Request, message string) {
	// A response writer without deadlines is one of a test.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	socket.LimitFrom(q.Context()).Reset()
	w.Header().Set("Connection", "close")
	http.Error(w, message, http.StatusUnauthorized)
}
