// Package allowance shares limited resources among processes that work apart, so that all of them together stay within each
// resource's limit. One Lender keeps the whole and lends amounts of it; a Borrower in each process uses what it was lent.
//
// What keeps the whole:
//   - An amount is taken off the whole when it is lent, and is of no use a lease after it was asked for, by the borrower's
//     own clock. One that never arrives is lost, not doubled.
//   - A lender begins with nothing. What an earlier one lent is therefore never lent again, and a new lender needs to know
//     nothing of it. Until its accounts had the time to fill, borrowers may use their equal parts of the reserve.
//   - A borrower out of touch may use its equal part of the rate, and its equal part of a reserve beyond the limit. The lender
//     keeps back the parts of the borrowers that it does not hear.
//
// Amounts are of any unit. The package has no I/O, no lock and no clock: callers pass the time, which must not run backwards,
// and serialize their calls.
package allowance

import "time"

// LeaseTTL is how long an amount may be used after it was asked for: some times what a question takes, and short beside the
// windows that limits are judged in, since what was lent before a window may be used in it.
const LeaseTTL = 200 * time.Millisecond

const (
	// burstSlackFraction of a limit's room may be lent at once beside the burst, so that a caller just inside its limit is not
	// turned away over when requests arrive; debtShare is how far one amount above that may exceed it. reserveShare is for
	// borrowers out of touch, all together. The rest, 0.6, is for amounts that are lent and not used yet (the rate for a lease),
	// and for the time until a lender notices a silence (the rate for that time, by the part that is silent): where the room is
	// a second of the rate, as it mostly is, these are 0.2 and, with a third silent, 0.23.
	burstSlackFraction   = 0.1
	debtSlackFraction    = 0.1
	reserveSlackFraction = 0.2
	// maxRetryAfter bounds how long a borrower is told to wait for an amount: what was refused long ago comes back no more.
	maxRetryAfter = 8 * time.Second
)

// Limit bounds the use of one resource: in any window, the rate times the window, the burst and the room.
type Limit struct {
	Rate  float64 `json:"rate"`  // units a second; a limit has one above 0
	Burst float64 `json:"burst"` // units at once
	Slack float64 `json:"room"`  // units beyond both that a window may hold, for what cannot be counted exactly
}

// capacity is the most that may be lent at once.
func (l Limit) capacity() float64 { return l.Burst + burstSlackFraction*l.Slack }

// maxAmount is the maxAmount amount that is ever lent at once.
func (l Limit) maxAmount() float64 { return l.capacity() + debtSlackFraction*l.Slack }

// reserve is what borrowers out of touch may use beyond their parts of the rate, all together.
func (l Limit) reserve() float64 { return reserveSlackFraction * l.Slack }

// RequestItem is a question for an amount of a resource.
type RequestItem struct {
	Name       string           `json:"n"`
	Amount     float64          `json:"a"`           // that is needed now; it is lent whole or not at all
	Prefetch   float64          `json:"h,omitempty"` // that would be of use within a lease; lent where there is plenty
	Advertised *AdvertisedLimit `json:"l,omitempty"` // the resource names its limit itself; nil the lender knows it
}

// Grant answers an Ask.
type Grant struct {
	Name       string        `json:"n"`
	Amount     float64       `json:"a"`           // lent; 0 where the limit is reached
	RetryAfter time.Duration `json:"w,omitempty"` // until the amount can be had, with what was refused before it; where nothing is lent
	// WarmingUp tells that nothing is lent since the account began a moment ago, not since the limit is reached: the amount is worth
	// waiting for.
	WarmingUp bool `json:"y,omitempty"`
	// Enforced tells that the lender counts resources that name their limits. One that doesn't know of these lends whatever is asked for, as of a
	// resource whose limit was taken away; its grants are not used.
	Enforced bool `json:"c,omitempty"`
}

// Request is what a borrower asks a lender: it gives amounts back and asks for others.
type Request struct {
	Client   string        `json:"b"`
	Sequence uint64        `json:"s"` // rises with each question of a borrower's life
	Returned []Grant       `json:"k,omitempty"`
	Items    []RequestItem `json:"q"`
}

// Reply is what a lender answers; Grants stand in the order of the asks.
type Reply struct {
	Term     uint64  `json:"t"` // rises with each lender
	Sequence uint64  `json:"s"` // of the question
	Grants   []Grant `json:"g"`
}
