package serve

import (
	"fmt"

	"github.com/valyala/fasthttp"
)

// ReportLoad adds the load report of a backend server to its response. slowness is how long work
// takes, in percent of the usual time.
func ReportLoad(c *fasthttp.RequestCtx, running, waiting, slots, slowness int) {
	c.Response.Header.Set("X-Replica-Load", fmt.Sprintf("%d,%d,%d,%d", running, waiting, slots, slowness))
}
