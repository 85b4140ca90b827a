package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/process/locate"
	"github.com/eelgrassdock/eelgrassdock/version/config"
	"github.com/eelgrassdock/eelgrassdock/version/order"
)

const (
	// orderShards is the number of parts into which the endpoints are divided.
	// Each part has its own lease, whose holder sends the orders. With 5,200
	// endpoints, a part of 325 costs its holder about 10 KB/s; 8 parts would
	// cost 21 KB/s each, which exceeds the budget of 14 KB/s.
	orderShards = 16
	orderPrefix = "order-"
)

// orderDuties returns the duties of sending orders, one for each part of the
// endpoints.
func orderDuties() []string {
	duties := make([]string, orderShards)
	for i := range duties {
		duties[i] = orderPrefix + strconv.Itoa(i)
	}
	return duties
}

// orderDuty returns the duty of the part that an endpoint belongs to.
func orderDuty(endpoint string) string {
	return orderPrefix + strconv.FormatUint(hashID(endpoint)%orderShards, 10)
}

// newOrders creates a reconciler for each part of the endpoints. A reconciler
// is active only while this entry holds the lease of its part.
func (e *Entry) newOrders() {
	for _, duty := range orderDuties() {
		e.reconcilers = append(e.reconcilers, &order.Reconciler{
			Lease: func(now time.Time) (int64, time.Time, bool) {
				l, ok := e.leases.Held(duty, now)
				return l.Fence, l.Deadline, ok
			},
			Desired: func() []order.Desired { return e.desired(duty) },
			Observe: func(ctx context.Context, d order.Desired) (engine.Report, error) {
				return (&engine.Conn{Addr: d.Addr, HTTP: e.polls}).Load(ctx)
			},
			Send: func(ctx context.Context, d order.Desired, o engine.Order) error {
				return (&engine.Conn{Addr: d.Addr, HTTP: e.polls}).Order(ctx, o)
			},
			Violation: func(s string) { e.violation("order", s) },
			Now:       e.Now, Log: e.Log,
		})
	}
}

// desired returns the desired state of the engines in one part.
func (e *Entry) desired(duty string) []order.Desired {
	x := e.config()
	var list []order.Desired
	for i := range x.Document.Endpoints {
		endpoint := &x.Document.Endpoints[i]
		s := x.Service(endpoint.Service)
		if s == nil || s.Kind != config.KindEngine || orderDuty(endpoint.ID) != duty {
			continue
		}
		list = append(list, order.Desired{
			Endpoint: endpoint.ID, Addr: endpoint.Addr, Service: endpoint.Service, Models: endpoint.Models,
			Role: endpoint.Role, Drain: endpoint.Drain, Fenced: endpoint.Fenced,
		})
	}
	return list
}

// unsettled returns those of the given endpoints that have not reached their
// desired state. They include endpoints whose lease holder does not respond.
func (e *Entry) unsettled(endpoints []string) []string {
	parts := map[string][]string{}
	for _, id := range endpoints {
		endpoint := e.config().Endpoint(id)
		if endpoint == nil {
			continue
		}
		if s := e.config().Service(endpoint.Service); s != nil && s.Kind == config.KindEngine {
			parts[orderDuty(id)] = append(parts[orderDuty(id)], id)
		}
	}
	var list []string
	for duty, ids := range parts {
		list = append(list, e.queryUnsettled(duty, ids)...)
	}
	return list
}

// queryUnsettled queries the preferred holder of a duty for the unsettled ones
// among the endpoints ids.
func (e *Entry) queryUnsettled(duty string, ids []string) []string {
	home := locate.Owner(e.candidates(), duty)
	if home.ID == e.id {
		return e.localUnsettled(duty, ids)
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

// localUnsettled returns the unsettled ones among the endpoints ids, in a part
// whose lease this entry holds. Without the lease their state is not known, so
// it returns all of them.
func (e *Entry) localUnsettled(duty string, ids []string) []string {
	if _, ok := e.leases.Held(duty, e.now()); !ok {
		return ids
	}
	n, err := strconv.Atoi(strings.TrimPrefix(duty, orderPrefix))
	if err != nil || n < 0 || n >= len(e.reconcilers) {
		return ids
	}
	return e.reconcilers[n].Unsettled(ids)
}

// OrderQuery is the argument of the RPC method Operator.Unsettled: a duty and
// endpoints of its part.
type OrderQuery struct {
	Duty      string
	Endpoints []string
}

// Unsettled returns the endpoints that have not reached their desired state.
func (c *operatorCalls) Unsettled(args OrderQuery, reply *[]string) (err error) {
	defer peer.Recover(c.e.Log, &err)
	*reply = c.e.localUnsettled(args.Duty, args.Endpoints)
	return nil
}

// orderStatuses returns the reconciliation status of the endpoints to which
// this entry sends orders, by endpoint ID.
func (e *Entry) orderStatuses() map[string]order.Status {
	all := map[string]order.Status{}
	for _, r := range e.reconcilers {
		for _, s := range r.Status() {
			all[s.Desired.Endpoint] = s
		}
	}
	return all
}
