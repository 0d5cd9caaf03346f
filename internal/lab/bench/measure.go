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
	Deployment           string  `json:"deployment"`
	Policy               Policy  `json:"policy"`
	Seed                 uint64  `json:"seed"`
	PrefixHitRate        float64 `json:"prefix_hit_rate"` // prompt tokens reused or copied, of all prompt tokens
	CopiedShare          float64 `json:"copied_token_share"`
	TTFTP50              float64 `json:"ttft_p50_ms"`
	TTFTP99              float64 `json:"ttft_p99_ms"`
	InteractiveTTFTP99   float64 `json:"interactive_ttft_p99_ms"`
	RecomputedTokenShare float64 `json:"recomputed_token_share"`          // prompt tokens computed though some engine had computed them before
	RecomputedElsewhere  float64 `json:"recomputed_held_elsewhere_share"` // of them, those that another live engine held
	RefusedShare         float64 `json:"refused_share"`
	Completed            int     `json:"completed"`
	Goodput              float64 `json:"goodput_per_s"`    // answers whose first token came within their deadline
	CrashRecovery        float64 `json:"crash_recovery_s"` // until the hit rate was back at 90% of what it was; -1: not within the run
	ShiftRecovery        float64 `json:"shift_recovery_s"`
	Scale                float64 `json:"scale"` // of the deployment's request rate

	hitSeries  []float64 // hit rate by second
	firstToken *hdrhistogram.Histogram
	byCause    [causeCount]float64 // recomputed tokens, by why
}

// cause is why tokens were computed again.
type cause int

// Causes, from what the engines held when the job began.
const (
	causeElsewhere cause = iota // another live engine held them
	causeEvicted                // nobody held them any more
	causeCount
)

// measure collects what a run shows. Requests sent before the warm-up ends are not counted.
type measure struct {
	run            *run
	prompt         int
	hit            int
	copied         int
	recomputed     int
	completed      int
	refused        int
	inTime         int
	all            *hdrhistogram.Histogram
	interactive    *hdrhistogram.Histogram
	computedBlocks map[prefix.Hash]bool
	hitBySecond    [][2]int // hit and prompt tokens
	byCause        [causeCount]float64
}

func newMeasure(r *run) *measure {
	return &measure{
		run: r, computedBlocks: map[prefix.Hash]bool{},
		all:         hdrhistogram.New(1, histogramHighest, histogramDigits),
		interactive: hdrhistogram.New(1, histogramHighest, histogramDigits),
		hitBySecond: make([][2]int, int(r.options.totalLength()/time.Second)+2),
	}
}

// started counts reuse when an engine begins a job.
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
	m.prompt += output.Job.PromptTokens
	m.hit += output.Cached
	m.copied += output.Imported
	m.recomputed += recomputed
	m.byCause[causeElsewhere] += float64(elsewhere)
	m.byCause[causeEvicted] += float64(recomputed - elsewhere)
}

func (m *measure) firstToken(now time.Duration, request *pending) {
	if request.sentAt < warmUp {
		return
	}
	ttft := now - request.sentAt
	_ = m.all.RecordValue(ttft.Microseconds()) // the range covers the whole run
	deadline := m.run.deployment.Traffic.LongDeadline
	if request.prompt.Short {
		_ = m.interactive.RecordValue(ttft.Microseconds())
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
	m.refused++
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

// row returns the result.
func (m *measure) row() Row {
	row := Row{
		Deployment: m.run.deployment.Name, Policy: m.run.policy, Seed: m.run.seed,
		PrefixHitRate: ratio(m.hit, m.prompt), CopiedShare: ratio(m.copied, m.prompt),
		TTFTP50: milliseconds(m.all, 50), TTFTP99: milliseconds(m.all, 99), InteractiveTTFTP99: milliseconds(m.interactive, 99),
		RecomputedTokenShare: ratio(m.recomputed, m.prompt), RefusedShare: ratio(m.refused, m.refused+m.completed),
		Completed: m.completed, Goodput: float64(m.inTime) / (m.run.options.Length - warmUp).Seconds(),
		firstToken: m.all, byCause: m.byCause, Scale: m.run.options.Scale,
	}
	if m.prompt > 0 {
		row.RecomputedElsewhere = m.byCause[causeElsewhere] / float64(m.prompt)
	}
	for _, second := range m.hitBySecond {
		row.hitSeries = append(row.hitSeries, ratio(second[0], second[1]))
	}
	row.CrashRecovery = m.recovery(m.run.options.crashAt())
	row.ShiftRecovery = m.recovery(m.run.options.shiftAt())
	return row
}

const (
	recoveryWindow    = 8   // seconds before an event from which the former level is taken
	recoverySmoothing = 3   // seconds over which the level is smoothed
	recoveredShare    = 0.9 // of the former level
)

// recovery returns the seconds from an event until the hit rate is back.
func (m *measure) recovery(at time.Duration) float64 {
	second := int(at / time.Second)
	baseline := m.hitRate(second-recoveryWindow, second)
	last := int(m.run.options.Length / time.Second)
	dropped := false
	for end := second + 1; end <= last; end++ {
		level := m.hitRate(max(second, end-recoverySmoothing), end)
		if level < recoveredShare*baseline {
			dropped = true
			continue
		}
		if dropped || end-second >= recoverySmoothing {
			return float64(end - second - 1)
		}
	}
	return -1
}

// hitRate is the hit rate over seconds from first to before last.
func (m *measure) hitRate(first, last int) float64 {
	hit, prompt := 0, 0
	for second := max(0, first); second < min(last, len(m.hitBySecond)); second++ {
		hit += m.hitBySecond[second][0]
		prompt += m.hitBySecond[second][1]
	}
	return ratio(hit, prompt)
}
