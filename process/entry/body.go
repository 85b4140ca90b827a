package entry

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/connection/intake"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	memoryWait   = 300 * time.Millisecond // shortest time to come back after a refusal for want of memory; most requests end sooner
	memorySpread = 500 * time.Millisecond // range of the random time added to it
)

// newCharges returns the account for the memory of a request. It must be released when the
// request has ended.
func (e *Entry) newCharges(r *http.Request, c call) *intake.Account {
	charges := &intake.Account{Budget: e.budget, Holders: []string{"account " + c.account.ID}}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		charges.Holders = append(charges.Holders, host)
	}
	return charges
}

// readBody reads the body of a request, up to maxBody. An error is a refusal.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, charges *intake.Account) ([]byte, error) {
	interrupt := func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) } // supported by net/http
	body, err := intake.ReadBody(r.Body, r.ContentLength, maxBody, charges, interrupt)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, intake.ErrFull), errors.Is(err, intake.ErrSlow):
		f := refusal.New(refusal.Memory, refusal.NotRun, err.Error())
		f.RetryAt = e.now().Add(memoryWait + rand.N(memorySpread))
		return nil, f
	case errors.Is(err, intake.ErrLong):
		return nil, refusal.New(refusal.BadRequest, refusal.NotRun, "body is over 1 MiB")
	}
	return nil, refusal.New(refusal.BadRequest, refusal.NotRun, "read body: "+err.Error())
}
