package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kitetiller/internal/core"
	"kitetiller/internal/lab/engine"
	"kitetiller/internal/prefix"
)

const (
	histogramHighest = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
)

// Row is the result of one policy over one seed.
type Row struct {
	Deployment                string  `json:"deployment"`
	Policy                    Policy  `json:"policy"`
	Seed                      uint64  `json:"seed"`
	PrefixHitRate             float64 `json:"prefix_hit_rate"` // fraction of prompt tokens reused from a cache or imported
	ImportedRatio             float64 `json:"copied_token_share"`
	TTFTP50                   float64 `json:"ttft_p50_ms"`
	TTFTP99                   float64 `json:"ttft_p99_ms"`
	InteractiveTTFTP99        float64 `json:"interactive_ttft_p99_ms"`
	RecomputedRatio           float64 `json:"recomputed_token_share"`          // fraction of prompt tokens computed again
	RecomputedCachedElsewhere float64 `json:"recomputed_held_elsewhere_share"` // while cached elsewhere
	RejectedRatio             float64 `json:"refused_share"`
	Completed                 int     `json:"completed"`
	Goodput                   float64 `json:"goodput_per_s"`    // requests whose first token came within the deadline
	CrashRecovery             float64 `json:"crash_recovery_s"` // until the hit rate is back; -1: never
	ShiftRecovery             float64 `json:"shift_recovery_s"`
	Scale                     float64 `json:"scale"` // factor on the deployment's request rate

	hitSeries  []float64 // hit rate of each second
	firstToken *hdrhistogram.Histogram
	byCause    [causeCount]float64 // recomputed tokens
}

// cause is why tokens were recomputed.
type cause int

// Causes, by the contents of the caches when the job started.
const (
	causeCachedElsewhere cause = iota // another live engine or the vault had them cached
	causeEvicted                      // no cache had them any more
	causeCount
)

// measure collects the results of a run. Requests sent before the warm-up ends are not counted.
type measure struct {
	run             *run
	promptTokens    int
	hitTokens       int
	imported        int
	recomputed      int
	completed       int
	rejected        int
	inTime          int
	ttft            *hdrhistogram.Histogram
	interactiveTTFT *hdrhistogram.Histogram
	computedBlocks  map[prefix.Hash]bool
	hitBySecond     [][2]int // hit and prompt tokens
	byCause         [causeCount]float64
}

func newMeasure(r *run) *measure {
	return &measure{
		run: r, computedBlocks: map[prefix.Hash]bool{},
		ttft:            hdrhistogram.New(1, histogramHighest, histogramDigits),
		interactiveTTFT: hdrhistogram.New(1, histogramHighest, histogramDigits),
		hitBySecond:     make([][2]int, int(r.options.totalLength()/time.Second)+2),
	}
}

// started records cached, imported and recomputed tokens when an engine starts a job.
func (m *measure) started(now time.Duration, s *attempt, output engine.Output) {
	recomputed, elsewhere := 0, 0
	chain := output.Job.Blocks
	first := output.Cached / m.run.options.blockTokens()
	if first < len(chain) {
		_, longestCached := m.run.longestCachedPrefix(chain)
		for i, hash := range chain[first:] {
			if m.computedBlocks[hash] {
				recomputed += m.run.options.blockTokens()
				if first+i < longestCached {
					elsewhere += m.run.options.blockTokens()
				}
			}
			m.computedBlocks[hash] = true
		}
	}
	second := int(now / time.Second)
	if second < len(m.hitBySecond) {
		m.hitBySecond[second][0] += output.Cached
		m.hitBySecond[second][1] += output.Job.PromptTokens
	}
	if s.request.sentAt < warmUp {
		return
	}
	m.promptTokens += output.Job.PromptTokens
	m.hitTokens += output.Cached
	m.imported += output.Imported
	m.recomputed += recomputed
	m.byCause[causeCachedElsewhere] += float64(elsewhere)
	m.byCause[causeEvicted] += float64(recomputed - elsewhere)
}

func (m *measure) firstToken(now time.Duration, request *pending) {
	if request.sentAt < warmUp {
		return
	}
	ttft := now - request.sentAt
	_ = m.ttft.RecordValue(ttft.Microseconds()) // the histogram's range covers the whole run
	deadline := m.run.deployment.Traffic.LongDeadline
	if request.prompt.Short {
		_ = m.interactiveTTFT.RecordValue(ttft.Microseconds())
		deadline = m.run.deployment.Traffic.InteractiveDeadline
	}
	if ttft <= deadline {
		m.inTime++
	}
}

func (m *measure) finished(_ time.Duration, request *pending, final core.ActionFinish) {
	if request.sentAt < warmUp {
		return
	}
	if final.Reason == core.ReasonComplete {
		m.completed++
		return
	}
	m.rejected++
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func (m *measure) row() Row {
	row := Row{
		Deployment: m.run.deployment.Name, Policy: m.run.policy, Seed: m.run.seed,
		PrefixHitRate: ratio(m.hitTokens, m.promptTokens), ImportedRatio: ratio(m.imported, m.promptTokens),
		TTFTP50: milliseconds(m.ttft, 50), TTFTP99: milliseconds(m.ttft, 99), InteractiveTTFTP99: milliseconds(m.interactiveTTFT, 99),
		RecomputedRatio: ratio(m.recomputed, m.promptTokens), RejectedRatio: ratio(m.rejected, m.rejected+m.completed),
		Completed: m.completed, Goodput: float64(m.inTime) / (m.run.options.Length - warmUp).Seconds(),
		firstToken: m.ttft, byCause: m.byCause, Scale: m.run.options.Scale,
	}
	if m.promptTokens > 0 {
		row.RecomputedCachedElsewhere = m.byCause[causeCachedElsewhere] / float64(m.promptTokens)
	}
	for _, second := range m.hitBySecond {
		row.hitSeries = append(row.hitSeries, ratio(second[0], second[1]))
	}
	row.CrashRecovery = m.recovery(m.run.options.crashAt())
	row.ShiftRecovery = m.recovery(m.run.options.shiftAt())
	return row
}

const (
	recoveryWindow    = 8   // seconds before an event over which the baseline is taken
	recoverySmoothing = 3   // seconds over which the hit rate is averaged
	recoveredRatio    = 0.9 // of the baseline
)

// recovery returns the seconds from an event until the hit rate has recovered, or -1.
func (m *measure) recovery(at time.Duration) float64 {
	second := int(at / time.Second)
	baseline := m.hitRate(second-recoveryWindow, second)
	last := int(m.run.options.Length / time.Second)
	dropped := false
	for end := second + 1; end <= last; end++ {
		level := m.hitRate(max(second, end-recoverySmoothing), end)
		if level < recoveredRatio*baseline {
			dropped = true
			continue
		}
		if dropped || end-second >= recoverySmoothing {
			return float64(end - second - 1)
		}
	}
	return -1
}

// hitRate returns the hit rate over the seconds from first up to, but not including, last.
func (m *measure) hitRate(first, last int) float64 {
	hit, prompt := 0, 0
	for second := max(0, first); second < min(last, len(m.hitBySecond)); second++ {
		hit += m.hitBySecond[second][0]
		prompt += m.hitBySecond[second][1]
	}
	return ratio(hit, prompt)
}
