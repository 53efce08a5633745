package caller

import (
	"context"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"fieldvale/catalog"
	"fieldvale/entry"
)

// service handles POST /v1/services/SERVICE/CALL.
func (s *Server) service(c *fasthttp.RequestCtx, k *call) *apiError {
	n, f, ok := strings.Cut(strings.TrimPrefix(string(c.Path()), servicePrefix), "/")
	if !ok || n == "" || f == "" || strings.Contains(f, "/") {
		return invalid("path", "the path is not "+servicePrefix+"SERVICE/CALL")
	}
	t := string(c.Request.Header.Peek(HeaderTask))
	if t == "" {
		t = catalog.DefaultTask
	}
	if e := s.setDeadline(c, k, t); e != nil {
		return e
	}
	key := string(c.Request.Header.Peek(HeaderIdempotencyKey))
	if len(key) > maxIDLength || !printable(key) || strings.Contains(key, "/") {
		return invalid(HeaderIdempotencyKey, HeaderIdempotencyKey+" may hold up to 128 printable characters without '/'")
	}
	r, err := s.router.Call(context.Background(), entry.ServiceRequest{
		ID: k.id, Caller: k.caller, Service: n, Call: f, Body: k.body,
		ContentType: string(c.Request.Header.ContentType()), IdempotencyKey: key,
		Once: string(c.Request.Header.Peek(HeaderOnce)) == "true", Deadline: k.deadline,
	})
	if err != nil {
		return toAPIError(err)
	}
	c.Response.Header.Set(HeaderPolicyRevision, strconv.FormatUint(r.Revision, 10))
	if r.Replayed {
		c.Response.Header.Set(HeaderReplayed, "true")
	}
	c.SetStatusCode(r.Answer.Status)
	c.SetContentType(r.Answer.ContentType)
	c.SetBody(r.Answer.Body)
	return nil
}
