// Package api defines the messages that callers, operators and back ends exchange with the system.
package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"kitetiller/internal/core"
)

// ProblemContentType is the media type of errors (RFC 9457).
const ProblemContentType = "application/problem+json"

// Problem is the body of an error response. Run states whether the request was executed.
type Problem struct {
	Type       string         `json:"type"`
	Title      string         `json:"title"`
	Status     int            `json:"status"`
	Detail     string         `json:"detail,omitempty"`
	RequestID  string         `json:"request_id,omitempty"`
	Run        core.RunStatus `json:"run"`
	RetryAfter float64        `json:"retry_after_s,omitempty"` // seconds; 0 if a retry doesn't help
}

// NewProblem returns the problem for a reason.
func NewProblem(reason core.Reason, run core.RunStatus, detail string) Problem {
	status, title := DescribeReason(reason)
	return Problem{Type: "urn:kitetiller:" + string(reason), Title: title, Status: status, Detail: detail, Run: run}
}

// DescribeReason returns the HTTP status and the title of a reason.
func DescribeReason(reason core.Reason) (int, string) {
	switch reason {
	case core.ReasonRateLimit:
		return http.StatusTooManyRequests, "The tenant's request rate is used up"
	case core.ReasonConcurrencyLimit:
		return http.StatusTooManyRequests, "The tenant has too many requests in progress"
	case core.ReasonQueueFull:
		return http.StatusServiceUnavailable, "The service's queue is full"
	case core.ReasonDeadline:
		return http.StatusServiceUnavailable, "The first token would come after the deadline"
	case core.ReasonUnknownService:
		return http.StatusNotFound, "No service answers this model or name"
	case core.ReasonKeyRequired:
		return http.StatusBadRequest, "This service needs an Idempotency-Key header"
	case core.ReasonKeyReused:
		return http.StatusUnprocessableEntity, "The Idempotency-Key was used with another body"
	case core.ReasonKeyExpired:
		return http.StatusGone, "The Idempotency-Key is older than its retention"
	case core.ReasonInProgress:
		return http.StatusConflict, "An earlier send with this Idempotency-Key is still running"
	case core.ReasonRunUnknown:
		return http.StatusBadGateway, "The request may have run; its result is lost"
	case core.ReasonOriginUnknown:
		return http.StatusServiceUnavailable, "Nobody knows at which software version the stream began"
	case core.ReasonOtherSoftware:
		return http.StatusServiceUnavailable, "No engine has the software version at which the stream began"
	case core.ReasonNoBackend, core.ReasonRetriesExhausted:
		return http.StatusServiceUnavailable, "No back end could take the request"
	case core.ReasonDraining:
		return http.StatusServiceUnavailable, "This router is stopping; ask another one"
	case core.ReasonNoLease, core.ReasonNoSettings:
		return http.StatusServiceUnavailable, "This router has no current settings; ask another one"
	case core.ReasonResting:
		return http.StatusServiceUnavailable, "All back ends of the service asked for rest"
	case core.ReasonCongested:
		return http.StatusServiceUnavailable, "The back ends of the service answer too late"
	case core.ReasonLimited:
		return http.StatusServiceUnavailable, "All back ends of the service have reached the limits that they name"
	case core.ReasonQuarantined:
		return http.StatusServiceUnavailable, "Back ends ended under this request again and again; it is sent to none until an operator releases it"
	case core.ReasonLedgerUnavailable:
		return http.StatusServiceUnavailable, "The run ledger did not answer"
	}
	return http.StatusInternalServerError, string(reason)
}

// Write sends the problem as a response.
func (p Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ProblemContentType)
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the caller may have disconnected
}

// WithRetryAfter returns a copy of the problem that tells the caller when to retry.
func (p Problem) WithRetryAfter(after time.Duration) Problem {
	p.RetryAfter = after.Seconds()
	return p
}
