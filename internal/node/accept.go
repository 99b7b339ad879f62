package node

import (
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/overload"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
)

// acceptRequest adds a request to the request table. It rejects the request if the node is overloaded or the table does not accept it.
func (n *Node) acceptRequest(now float64, exchange *http1.Exchange, routed protocol.RoutedRequest) {
	request := routed.Request
	if n.owned.shutdownDeadline > 0 {
		untilShutdown := n.owned.shutdownDeadline - now + time.Since(exchange.Arrived).Seconds()
		request.ClientTimeLeft = max(0, min(request.ClientTimeLeft, untilShutdown))
	}
	clientTimeout := request.ClientTimeLeft
	decision := n.overload.admit(now, overload.Request{
		ClientTimeout: clientTimeout,
		Elapsed:       time.Since(exchange.Arrived).Seconds(),
		HeldBytes:     n.server.HeldBytes(),
	})
	if !decision.Admitted {
		n.shed(routed, decision)
		return
	}
	request.ClientTimeLeft = decision.ClientTimeLeft
	wholeResponseTimeout := routed.WholeResponseTimeout
	if wholeResponseTimeout > 0 {
		wholeResponseTimeout -= clientTimeout - decision.ClientTimeLeft
	}
	if rejection, ok := n.table().AddRequest(now, request, wholeResponseTimeout); !ok {
		n.rejectByTable(routed, rejection)
		return
	}
	n.register(request.ID, exchange, routed.Exchange)
}

// shed rejects a request because the node is overloaded.
func (n *Node) shed(routed protocol.RoutedRequest, decision overload.Decision) {
	n.metrics.overloadRejections.WithLabelValues(decision.Reason).Inc()
	n.reject(routed, rejection{
		response:   outcome.Response{HTTPStatus: 503, Code: "node_overloaded", RetryIsSafe: true},
		retryAfter: decision.RetryAfter,
		reason:     decision.Reason,
		text:       "the node does not keep up now",
	})
}

// rejectByTable rejects a request that the request table did not accept.
func (n *Node) rejectByTable(routed protocol.RoutedRequest, response outcome.Response) {
	retryAfter := 0.0
	if response.RetryIsSafe {
		retryAfter = n.overload.retryAfter()
	}
	n.reject(routed, rejection{
		response:   response,
		retryAfter: retryAfter,
		reason:     response.Code,
		text:       "the node takes no more requests now",
	})
}

// rejection describes the response to a request that is not accepted.
type rejection struct {
	response   outcome.Response
	retryAfter float64 // value of Retry-After (s); 0 = the field is not sent
	reason     string  // for the log
	text       string  // for the client
}

// reject responds to a request that is not accepted.
func (n *Node) reject(routed protocol.RoutedRequest, r rejection) {
	n.metrics.countResponse(responseNotAdmitted)
	n.log.Debug("request rejected", "request", routed.Request.ID, "reason", r.reason, "retry_after_s", r.retryAfter)
	response := routed.Exchange.NodeResponse(r.response, r.retryAfter, r.text)
	n.jobs.start(func() { routed.Exchange.Respond(response) })
}

// register records an accepted request, starts its deadline timer, and watches its client connection.
func (n *Node) register(id string, exchange *http1.Exchange, client protocol.ClientExchange) {
	request := &activeRequest{
		id:             id,
		exchange:       exchange,
		client:         client,
		attempts:       map[int]attemptInFlight{},
		responseGrants: map[int]chan bool{},
		startedAt:      exchange.Arrived,
	}
	n.owned.requests[id] = request
	request.dueBy, _ = n.table().Deadline(id)
	n.watchDeadline(request)
	exchange.OnDisconnect(func(halfClosed bool) { n.clientDisconnected(request, halfClosed) })
}

// clientDisconnected reports to the event loop that a client has closed its connection or, if halfClosed, only its sending side.
func (n *Node) clientDisconnected(request *activeRequest, halfClosed bool) {
	at := n.loop.clock.Now()
	n.loop.post(func(now float64) {
		if n.owned.requests[request.id] != request {
			return
		}
		request.disconnectedAt = at
		n.log.Debug("client disconnected", "request", request.id, "half_closed", halfClosed)
		n.table().ClientDisconnected(now, request.id, halfClosed)
	})
}

// watchDeadline starts a timer for the deadline of a request in the request table. When the timer fires, it reports the deadline to the
// table. If the table then has a later deadline for the request, another timer is started.
func (n *Node) watchDeadline(request *activeRequest) {
	at, ok := n.table().Deadline(request.id)
	if !ok {
		return
	}
	request.deadlineTimer = n.schedule(at, func(now float64) {
		n.table().DeadlineReached(now, request.id)
		if next, ok := n.table().Deadline(request.id); ok && next > now {
			n.watchDeadline(request)
		}
	})
}
