package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/httphead"
	"fieldvale/gen/fieldvale/v1/fieldvalev1connect"
)

// NewAdminClient returns a client of the administration API at url. ca is the path of a PEM file
// with the only certificates to trust; if it is empty, the system's are used.
func NewAdminClient(url, key, ca string) (fieldvalev1connect.AdminClient, error) {
	t := &http.Transport{}
	if ca != "" {
		b, err := os.ReadFile(ca)
		if err != nil {
			return nil, errors.Wrap(err, "rpc: read CA certificates")
		}
		p := x509.NewCertPool()
		if !p.AppendCertsFromPEM(b) {
			return nil, errors.Newf("rpc: CA file %s has no PEM certificate", ca)
		}
		t.TLSClientConfig = &tls.Config{RootCAs: p, MinVersion: tls.VersionTLS12}
	}
	return fieldvalev1connect.NewAdminClient(&http.Client{Transport: bearerTransport{key: key, next: t}}, url), nil
}

// bearerTransport adds an administration key to each request.
type bearerTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearerTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	q = q.Clone(q.Context())
	q.Header.Set("Authorization", "Bearer "+b.key)
	r, err := roundTrip(b.next, q)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(r); err != nil {
		_ = r.Body.Close()
		return nil, errors.Wrap(err, "rpc: answer of the administration API")
	}
	return r, nil
}

// checkResponse returns an error if a response is not one of the administration API: its head is none of HTTP, or its
// body ends with the connection, as the beginning of a longer one does.
func checkResponse(r *http.Response) error {
	if err := httphead.CheckStatus(r.StatusCode); err != nil {
		return err
	}
	if err := httphead.CheckHeader(r.Header); err != nil {
		return err
	}
	if r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return errors.New("the body has neither a length nor chunks")
	}
	return nil
}
