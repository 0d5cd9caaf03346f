package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	statusPath    = "/goje543/" // idempotent
	receiptPath   = "/fire210/" // non_idempotent
	feedPath      = "/lepu270/" // streams that may not be resumed
	slowChunk     = 4 << 10     // bytes that a slow client reads at once
	slowPause     = 60 * time.Millisecond
	slowBuffer    = 4 << 10 // receive buffer of a slow client
	readers       = 6
	feedEvents    = 15
	feedInterval  = 100 * time.Millisecond
	feedDelay     = 150 * time.Millisecond // from the slow answers to the streams
	contactPeriod = 4 * time.Second        // the largest contact_ms of the sites that the cases name
	feedDeadline  = 8 * time.Second
	allowedLost   = 3 // connections that a machine may close without an answer
)

// Lengths of the answers that slow clients read: the gateway reads the first kind in full before it passes it on, and
// passes the second kind on as it comes.
const (
	heldAnswer   = 160 << 10
	passedAnswer = 400 << 10
)

// round is a number of slow readers, and of streams that begin while they read.
type round struct {
	name     string
	method   string
	path     string
	length   int
	deadline time.Duration // of the slow readers
	feeds    int
	stop     bool // the gateway gets SIGTERM first
}

// playPooled lets clients read answers slowly. It counts the streams of other clients that the gateway cuts off while
// their worker is at work, and in a round without streams the answers of the slow readers that it cuts off.
func playPooled(r *record, trouble bool) (bool, error) {
	return playRounds(r, trouble, []round{
		{"A", http.MethodGet, statusPath + "one", heldAnswer, 10 * time.Second, readers, false},
		{"B", http.MethodPost, receiptPath + "one", heldAnswer, time.Second, readers, false},
		{"C", http.MethodGet, statusPath + "two", passedAnswer, 11 * time.Second, 0, false},
		{"D", http.MethodGet, statusPath + "one", heldAnswer, 10 * time.Second, readers, true},
	})
}

func playRounds(r *record, trouble bool, rounds []round) (bool, error) {
	return withCluster(r, func(c *cluster) (bool, error) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		runs := &runLog{record: r, ended: map[string]string{}}
		w, err := startWorker(c, 0, "i-7f3a91c2", service, runs.handle)
		if err != nil {
			return false, err
		}
		routes := []map[string]any{
			route("pledge-status", statusPath, "idempotent", service, 2, 300), route("receipt-get", receiptPath, "non_idempotent", service, 1, 300),
			route("pledge-feed", feedPath, "streaming", service, 1, 600),
		}
		if err := c.put(configuration(1, routes, []map[string]any{plainService()}, []map[string]any{tenant("sese880", clientKey, false)})); err != nil {
			return false, err
		}
		if err := w.register(ctx); err != nil {
			return false, err
		}
		if err := c.awaitReady(); err != nil {
			return false, err
		}
		g := c.gateways[0]
		if err := awaitServed(r, g.front(), http.MethodGet, statusPath+"warm", "warm", keyHeader(clientKey)); err != nil {
			return false, err
		}
		calm, around := 0, 0
		for _, next := range rounds {
			r.add("calm for longer than contact_ms")
			time.Sleep(contactPeriod + 500*time.Millisecond)
			lost, err := playRound(r, g, next, trouble, runs)
			if err != nil {
				return false, err
			}
			r.add("round %s: %d of %d cut off by the gateway", next.name, lost, max(next.feeds, readers))
			if next.stop {
				around += lost
			} else {
				calm += lost
			}
		}
		r.add("cut off by the gateway in all, though the worker was sound and time was left: %d in calm, %d around the SIGTERM", calm, around)
		return calm > allowedLost || around > 0, nil
	})
}

// runLog is what the worker knows of its runs.
type runLog struct {
	record *record

	mu    sync.Mutex
	ended map[string]string // by request: how its run ended
}

func (l *runLog) end(id, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[id] = how
}

func (l *runLog) of(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended[id]
}

// handle runs a request: the answer is a text, of a length that the path tells, or a stream of events.
func (l *runLog) handle(out http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("X-Request-Id")
	if !strings.HasPrefix(id, "warm") {
		l.record.add("worker: runs %s, on the gateway's connection %s", id, in.RemoteAddr)
	}
	if !strings.HasPrefix(in.URL.Path, feedPath) {
		length := 800
		switch {
		case strings.HasSuffix(in.URL.Path, "one"):
			length = heldAnswer
		case strings.HasSuffix(in.URL.Path, "two"):
			length = passedAnswer
		}
		out.Header().Set("Content-Length", fmt.Sprint(length))
		if _, err := io.WriteString(out, strings.Repeat("0123456789abcdef", length/16)); err != nil {
			l.end(id, "the gateway closed its connection in the middle of the answer")
			return
		}
		l.end(id, "complete")
		return
	}
	out.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= feedEvents; number++ {
		_, err := fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", number, id, number)
		if err == nil {
			err = http.NewResponseController(out).Flush()
		}
		if err != nil || in.Context().Err() != nil {
			l.end(id, fmt.Sprintf("the gateway closed its connection at event %d of %d", number, feedEvents))
			return
		}
		time.Sleep(feedInterval)
	}
	l.end(id, "complete")
}

// playRound plays a round and returns how many answers were cut off: streams or, in a round without streams, those of
// the slow readers.
func playRound(r *record, g *process, next round, trouble bool, runs *runLog) (cut int, err error) {
	feeds := make([]*connection, next.feeds)
	for i := range feeds { // kept connections that have served a request
		if feeds[i], err = dial(g.front(), 0); err != nil {
			return 0, err
		}
		if err := warm(feeds[i], fmt.Sprintf("warm-%s-%d", next.name, i)); err != nil {
			return 0, err
		}
	}
	if next.stop {
		r.add("platform: SIGTERM for %s", g.name)
		if err := g.command.Process.Signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	count := func() {
		mu.Lock()
		defer mu.Unlock()
		cut++
	}
	for i := range readers {
		all.Go(func() {
			id := fmt.Sprintf("%s-text-%d", next.name, i)
			began := time.Now()
			n, err := readText(g.front(), id, next, trouble)
			took := time.Since(began)
			r.add("client: %s has read %d of %d bytes in %.1f s (%v)", id, n, next.length, took.Seconds(), err)
			if len(feeds) == 0 && err != nil && took < next.deadline {
				count()
			}
		})
	}
	time.Sleep(feedDelay)
	for i, c := range feeds {
		all.Go(func() {
			defer c.Close()
			id := fmt.Sprintf("%s-feed-%d", next.name, i)
			status, events, err := readFeed(c, id)
			time.Sleep(2 * feedInterval) // so that the worker has noticed
			r.add("client: %s got %d, %d of %d events (%v); at the worker: %s", id, status, events, feedEvents, err, runs.of(id))
			if (err != nil || events < feedEvents) && strings.HasPrefix(runs.of(id), "the gateway closed") {
				count()
			}
		})
	}
	all.Wait()
	return cut, nil
}

// warm sends a request on a connection and reads the answer.
func warm(c *connection, id string) error {
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if err := c.send(http.MethodGet, statusPath+"warm", id, 3*time.Second, keyHeader(clientKey)); err != nil {
		return err
	}
	response, err := c.readHead(http.MethodGet)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return err
}

// readText gets a text, slowly if slow is set.
func readText(address, id string, next round, slow bool) (n int, err error) {
	buffer := 0
	if slow {
		buffer = slowBuffer
	}
	c, err := dial(address, buffer)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	if err := c.send(next.method, next.path, id, next.deadline, keyHeader(clientKey)); err != nil {
		return 0, err
	}
	response, err := c.readHead(next.method)
	if err != nil {
		return 0, err
	}
	part := make([]byte, slowChunk)
	for {
		read, err := response.Body.Read(part)
		n += read
		switch {
		case err == io.EOF:
			return n, nil
		case err != nil:
			return n, err
		case slow:
			time.Sleep(slowPause)
		}
	}
}

// readFeed gets a stream on a kept connection.
func readFeed(c *connection, id string) (status, events int, err error) {
	_ = c.SetDeadline(time.Now().Add(feedDeadline + time.Second))
	if err := c.send(http.MethodPost, feedPath+"2f", id, feedDeadline, keyHeader(clientKey)); err != nil {
		return 0, 0, err
	}
	response, err := c.readHead(http.MethodPost)
	if err != nil {
		return 0, 0, err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.Count(string(body), "\n\n"), err
}
