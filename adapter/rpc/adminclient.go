package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"fieldvale/gen/fieldvale/v1/fieldvalev1connect"
)

// NewAdmin returns a client of the administration API at url. ca names a
// file of certificates to trust beside the system's; it may be empty.
func NewAdmin(url, key, ca string) (fieldvalev1connect.AdminClient, error) {
	t := &http.Transport{}
	if ca != "" {
		b, err := os.ReadFile(ca)
		if err != nil {
			return nil, errors.Wrap(err, "rpc.NewAdmin")
		}
		p := x509.NewCertPool()
		if !p.AppendCertsFromPEM(b) {
			return nil, errors.Newf("rpc.NewAdmin: %s holds no certificate", ca)
		}
		t.TLSClientConfig = &tls.Config{RootCAs: p, MinVersion: tls.VersionTLS12}
	}
	return fieldvalev1connect.NewAdminClient(&http.Client{Transport: bearer{key: key, next: t}}, url), nil
}

// bearer sends an administration key.
type bearer struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearer) RoundTrip(q *http.Request) (*http.Response, error) {
	q = q.Clone(q.Context())
	q.Header.Set("Authorization", "Bearer "+b.key)
	return b.next.RoundTrip(q)
}
