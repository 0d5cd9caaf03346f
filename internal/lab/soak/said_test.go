package soak

import (
	"fmt"
	"time"
)

var sendingGateway = Sender{Name: "g", Incarnation: 1}

// recordBackoffArrivals records a back end's request for backoff, known to the gateway after 3 s, and a number of
// requests that are sent at 4 s and arrive at 5 s.
func recordBackoffArrivals(w *Watcher, later int, backoff time.Duration) {
	w.RecordSent(time.Second, "refused", sendingGateway)
	w.RecordArrival(2*time.Second, "refused", "b")
	w.RecordBackoff(2*time.Second, "refused", "b", backoff)
	w.RecordSent(2*time.Second, "on its way", sendingGateway)
	w.RecordResponseHead(3*time.Second, "refused")
	w.RecordArrival(4*time.Second, "on its way", "b")
	for n := range later {
		id := fmt.Sprint("later-", n)
		w.RecordSent(4*time.Second, id, sendingGateway)
		w.RecordArrival(5*time.Second, id, "b")
	}
	w.RecordSent(4*time.Second, "elsewhere", Sender{Name: "g", Incarnation: 2}) // another incarnation, which does not know of the backoff
	for range maxBackoffRequests + 1 {
		w.RecordArrival(5*time.Second, "elsewhere", "b")
	}
}

// recordDrainArrival records that a back end is draining, known to the gateway after 3 s, and a request sent at a given
// time that reaches an incarnation.
func recordDrainArrival(w *Watcher, at time.Duration, incarnation string) {
	w.RecordSent(time.Second, "first", sendingGateway)
	w.RecordDraining("first", "b")
	w.RecordArrival(3*time.Second, "first", "c") // retried on another back end
	w.RecordSent(at, "later", sendingGateway)
	w.RecordArrival(at+time.Second, "later", incarnation)
}

// recordLimitArrivals records a limit of 1.4 requests per second, advertised from 1 s to 21 s and known to the gateway
// after 2 s, and a number of requests that arrive together. A window allows 13.4.
func recordLimitArrivals(w *Watcher, count int, at time.Duration, sender Sender) {
	w.RecordSent(time.Second, "first", sendingGateway)
	w.RecordArrival(time.Second, "first", "b")
	w.RecordAdvertisedLimit(time.Second, "first", "b", 1.4, 21*time.Second)
	w.RecordResponseHead(2*time.Second, "first")
	for n := range count {
		id := fmt.Sprint("later-", n)
		w.RecordSent(at-time.Second/4, id, sender)
		w.RecordArrival(at, id, "b")
	}
}
