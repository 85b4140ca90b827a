package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/process/locate"
	"github.com/eelgrassdock/eelgrassdock/version/config"
	"github.com/eelgrassdock/eelgrassdock/version/order"
)

const (
	// orderShards is the number of parts of the endpoints, each with its own
	// lease and holder. At 5,200 endpoints a part of 325 costs its holder about
	// 10 KB/s; 8 parts would cost 21 KB/s each, over the budget of 14 KB/s.
	orderShards = 16
	orderPrefix = "order-"
)

// orderDuties lists the leases of the holders that send orders to endpoints.
func orderDuties() []string {
	duties := make([]string, orderShards)
	for i := range duties {
		duties[i] = orderPrefix + strconv.Itoa(i)
	}
	return duties
}

func orderDuty(endpoint string) string {
	return orderPrefix + strconv.FormatUint(hashID(endpoint)%orderShards, 10)
}

// newOrders makes a reconciler for each part of the endpoints. It works only
// while this entry holds the lease of the part.
func (e *Entry) newOrders() {
	for _, duty := range orderDuties() {
		e.orders = append(e.orders, &order.Reconciler{
			Lease: func(now time.Time) (int64, time.Time, bool) {
				l, ok := e.leases.Check(duty, now)
				return l.Fence, l.Deadline, ok
			},
			Desired: func() []order.Desired { return e.desired(duty) },
			Observe: func(ctx context.Context, d order.Desired) (engine.Report, error) {
				return (&engine.Conn{Addr: d.Addr, HTTP: e.http}).Load(ctx)
			},
			Send: func(ctx context.Context, d order.Desired, o engine.Order) error {
				return (&engine.Conn{Addr: d.Addr, HTTP: e.http}).Order(ctx, o)
			},
			Violation: func(s string) { e.violation("order", s) },
			Now:       e.Now, Log: e.Log,
		})
	}
}

// desired lists the desired state of the engines of one part.
func (e *Entry) desired(duty string) []order.Desired {
	x := e.config()
	var list []order.Desired
	for i := range x.Document.Endpoints {
		endpoint := &x.Document.Endpoints[i]
		s := x.Service(endpoint.Service)
		if s == nil || s.Kind != config.Engine || orderDuty(endpoint.ID) != duty {
			continue
		}
		list = append(list, order.Desired{
			Endpoint: endpoint.ID, Addr: endpoint.Addr, Service: endpoint.Service, Models: endpoint.Models,
			Role: endpoint.Role, Drain: endpoint.Drain, Fenced: endpoint.Fenced,
		})
	}
	return list
}

// unsettled names those of the endpoints that are not yet as ordered. An
// endpoint whose holder does not answer counts as one of them.
func (e *Entry) unsettled(endpoints []string) []string {
	parts := map[string][]string{}
	for _, id := range endpoints {
		endpoint := e.config().Endpoint(id)
		if endpoint == nil {
			continue
		}
		if s := e.config().Service(endpoint.Service); s != nil && s.Kind == config.Engine {
			parts[orderDuty(id)] = append(parts[orderDuty(id)], id)
		}
	}
	var list []string
	for duty, ids := range parts {
		list = append(list, e.unsettledOf(duty, ids)...)
	}
	return list
}

func (e *Entry) unsettledOf(duty string, ids []string) []string {
	home := locate.Owner(e.candidates(), duty)
	if home.ID == e.id {
		return e.unsettledHere(duty, ids)
	}
	addr, ok := e.peerAddr(home.ID)
	if !ok {
		return ids
	}
	ctx, cancel := context.WithTimeout(e.background, peerTimeout)
	defer cancel()
	var list []string
	if err := e.callPeer(ctx, addr, "Operator.Unsettled", OrderQuery{Duty: duty, Endpoints: ids}, &list); err != nil {
		return ids
	}
	return list
}

// unsettledHere answers for a part that this entry is the holder of. Without
// the lease nothing is known, so nothing counts as settled.
func (e *Entry) unsettledHere(duty string, ids []string) []string {
	if _, ok := e.leases.Check(duty, e.now()); !ok {
		return ids
	}
	n, err := strconv.Atoi(strings.TrimPrefix(duty, orderPrefix))
	if err != nil || n < 0 || n >= len(e.orders) {
		return ids
	}
	return e.orders[n].Unsettled(ids)
}

// OrderQuery asks the holder of a part about endpoints.
type OrderQuery struct {
	Duty      string
	Endpoints []string
}

// Unsettled names the endpoints that are not yet as ordered.
func (c *operatorCalls) Unsettled(args OrderQuery, reply *[]string) error {
	*reply = c.e.unsettledHere(args.Duty, args.Endpoints)
	return nil
}

// orderStatuses gives the reconciliation of the endpoints whose orders this
// entry sends, by endpoint.
func (e *Entry) orderStatuses() map[string]order.Status {
	all := map[string]order.Status{}
	for _, r := range e.orders {
		for _, s := range r.Status() {
			all[s.Desired.Endpoint] = s
		}
	}
	return all
}
