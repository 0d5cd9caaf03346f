package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/allowance/desk"
	"kitetiller/internal/control"
	"kitetiller/internal/transport"
)

// lateLeader is a control group in virtual time: a leader that grants every amount, and whose reply to every tenth request
// takes as long as late, and a follower that names it.
type lateLeader struct {
	late  time.Duration
	asked atomic.Int64
}

const (
	leaderAddress   = "leader:1"
	followerAddress = "follower:1"
)

// RoundTrip answers a request.
func (l *lateLeader) RoundTrip(request *http.Request) (*http.Response, error) {
	var asked control.Request
	if err := json.NewDecoder(request.Body).Decode(&asked); err != nil {
		return nil, err
	}
	answer := control.Response{Kind: control.ResponseNotLeader, Leader: leaderAddress}
	if request.URL.Host == leaderAddress {
		reply := allowance.Reply{Term: 1, Sequence: asked.AllowanceRequest.Sequence}
		for _, item := range asked.AllowanceRequest.Items {
			reply.Grants = append(reply.Grants, allowance.Grant{Name: item.Name, Amount: item.Amount})
		}
		answer = control.Response{Kind: control.ResponseOK, AllowanceReply: &reply}
		if l.asked.Add(1)%10 == 1 {
			time.Sleep(l.late)
		}
	}
	time.Sleep(time.Millisecond)
	body, err := json.Marshal(answer)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}, err
}

// TestLateLeaseReplyDoesNotHideTheLeader guards against a late reply to one request for a lease that makes a gateway avoid
// the leader, so that all requests of tenants with limits get limit-unknown meanwhile.
func TestLateLeaseReplyDoesNotHideTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tenant = "tenant/a"
		g := &Gateway{group: control.NewClient(transport.NewClientWithRoundTripper("", &lateLeader{late: 230 * time.Millisecond}), []string{followerAddress, leaderAddress})}
		start := time.Now()
		pool := desk.New("g", time.Second, func() time.Duration { return time.Minute + time.Since(start) }, g.requestLeases)
		pool.SetLimits(map[string]allowance.Limit{tenant: {Rate: 1, Burst: 1}})
		ctx, cancel := context.WithCancel(t.Context())
		var threads sync.WaitGroup
		threads.Go(func() { pool.Run(ctx) })
		refused := 0
		for range 100 {
			if pool.Acquire(t.Context(), tenant, 1, 300*time.Millisecond).Outcome != desk.Granted {
				refused++
			}
			time.Sleep(20 * time.Millisecond)
		}
		cancel()
		threads.Wait()
		if refused > 0 {
			t.Errorf("%d of 100 requests were refused", refused)
		}
	})
}
