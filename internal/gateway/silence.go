package gateway

import (
	"slices"
	"time"
)

// firstByteSmoothing is the weight of the newest response in the mean time until the first byte of a service's responses.
const firstByteSmoothing = 0.1

// recordFirstByte records how long the back end has sent nothing until now.
func (a *attempt) recordFirstByte() {
	took := a.exchange.gateway.now() - a.sentAt - a.predictedSilence()
	a.exchange.gateway.table.recordFirstByteTime(a.exchange.service.Name, max(0, took))
}

func (t *table) recordFirstByteTime(service string, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	mean := t.firstByteTimes[service]
	t.firstByteTimes[service] = mean + time.Duration(firstByteSmoothing*float64(took-mean))
}

// firstByteTime returns the mean time until the first byte of a service's responses, beyond what was predicted.
func (t *table) firstByteTime(service string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.firstByteTimes[service]
}

// hasUntried reports whether a service has a back end that a request was not sent to yet.
func (t *table) hasUntried(service string, tried []*endpoint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.ContainsFunc(t.services[service], func(row *endpoint) bool { return !slices.Contains(tried, row) })
}

// backEndCount returns the number of a service's back ends.
func (t *table) backEndCount(service string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.services[service])
}
