package soak

import (
	"fmt"
	"time"
)

var sendingGateway = Sender{Name: "g", Process: 1}

// recordBackoffArrivals lets a back end ask for rest, the caller have its answer after 3 s, and so many later requests come 2 s after that.
func recordBackoffArrivals(w *Watcher, later int, rest time.Duration) {
	w.RecordSent(time.Second, "refused", sendingGateway)
	w.RecordArrival(2*time.Second, "refused", "b")
	w.RecordBackoff(2*time.Second, "refused", "b", rest)
	w.RecordSent(2*time.Second, "on its way", sendingGateway)
	w.RecordResponseHead(3*time.Second, "refused")
	w.RecordArrival(4*time.Second, "on its way", "b")
	for n := range later {
		id := fmt.Sprint("later-", n)
		w.RecordSent(4*time.Second, id, sendingGateway)
		w.RecordArrival(5*time.Second, id, "b")
	}
	w.RecordSent(4*time.Second, "elsewhere", Sender{Name: "g", Process: 2}) // the next life hasn't heard of it
	for range maxBackoffRequests + 1 {
		w.RecordArrival(5*time.Second, "elsewhere", "b")
	}
}

// recordDrainArrival lets a back end say that it leaves, which its gateway is seen to know after 3 s, and a request come to a life of it that was
// sent at a time.
func recordDrainArrival(w *Watcher, at time.Duration, life string) {
	w.RecordSent(time.Second, "first", sendingGateway)
	w.RecordDraining("first", "b")
	w.RecordArrival(3*time.Second, "first", "c") // it went on elsewhere
	w.RecordSent(at, "later", sendingGateway)
	w.RecordArrival(at+time.Second, "later", life)
}

// recordLimitArrivals lets a back end name a limit of 1.4 requests a second after a second, for 20 s, the gateway be seen to know it after 2 s, and so many
// requests that a process sent there come together at a time; 13.4 are allowed.
func recordLimitArrivals(w *Watcher, count int, at time.Duration, by Sender) {
	w.RecordSent(time.Second, "first", sendingGateway)
	w.RecordArrival(time.Second, "first", "b")
	w.RecordAdvertisedLimit(time.Second, "first", "b", 1.4, 21*time.Second)
	w.RecordResponseHead(2*time.Second, "first")
	for n := range count {
		id := fmt.Sprint("later-", n)
		w.RecordSent(at-time.Second/4, id, by)
		w.RecordArrival(at, id, "b")
	}
}
