// Package plan reads the simulation section ("lab") of a deployment file: the sizes and rates that the simulated back
// ends, the benchmark and the local fleet use. The rest of the file is the settings tree.
package plan

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/lab/engine"
	"kitetiller/internal/node"
)

// Deployment describes a site to simulate.
type Deployment struct {
	Name          string        `yaml:"name"`
	Region        string        `yaml:"region"`
	Zones         []string      `yaml:"zones"`
	ZoneLatency   time.Duration `yaml:"zone_latency"`   // one-way, between zones
	ClientLatency time.Duration `yaml:"client_latency"` // one-way, to clients
	Model         ModelService  `yaml:"model_service"`
	Small         SmallService  `yaml:"small_service"`
	Vault         Vault         `yaml:"vault"`
	Weights       Weights       `yaml:"weights"`
	PlatformLag   time.Duration `yaml:"platform_lag"`
	Engine        EngineRates   `yaml:"engine"`
	Tenants       []Tenant      `yaml:"tenants"`
	Traffic       Traffic       `yaml:"traffic"`
}

// ModelService describes the service of inference engines.
type ModelService struct {
	Name    string `yaml:"name"`
	Workers int    `yaml:"workers"`
}

// SmallService describes the service whose requests can't be retried.
type SmallService struct {
	Name        string        `yaml:"name"`
	Workers     int           `yaml:"workers"`
	ServiceTime time.Duration `yaml:"time"`
}

// Vault describes the shared store of KV cache blocks.
type Vault struct {
	Name   string `yaml:"name"`
	Blocks int    `yaml:"blocks"`
}

// Weights describes the weight store.
type Weights struct {
	LoadTime      time.Duration `yaml:"load_time"`
	MaxConcurrent int           `yaml:"concurrent"`
}

// EngineRates holds the performance of an engine; zero fields take the defaults of the simulated engine.
type EngineRates struct {
	PrefillTokens float64       `yaml:"prefill_tokens_per_s"`
	ImportTokens  float64       `yaml:"import_tokens_per_s"`
	DecodeStep    time.Duration `yaml:"decode_step"`
	DecodePerSeq  time.Duration `yaml:"decode_per_sequence"`
	MaxBatch      int           `yaml:"max_batch"`
	CacheBlocks   int           `yaml:"cache_blocks"`
	CacheIdle     time.Duration `yaml:"cache_idle"`
	EventLag      time.Duration `yaml:"event_lag"`
	EventLoss     float64       `yaml:"event_loss"`
	LoadLag       time.Duration `yaml:"load_lag"`
}

// Tenant is one tenant and its share of the traffic.
type Tenant struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"`
}

// Traffic describes the clients' requests.
type Traffic struct {
	RequestsPerSecond   float64       `yaml:"requests_per_s"`
	ShortShare          float64       `yaml:"short_share"` // fraction of short questions
	PreambleTokens      int           `yaml:"preamble_tokens"`
	Templates           int           `yaml:"templates"` // per tenant
	TemplateTokens      int           `yaml:"template_tokens"`
	DocumentTokens      int           `yaml:"document_tokens"` // mean; varies between 0.5 and 1.5 times this
	QuestionsPerDoc     int           `yaml:"questions_per_document"`
	QuestionGap         time.Duration `yaml:"question_gap"` // mean time between questions about one document
	QuestionTokens      int           `yaml:"question_tokens"`
	ShortTokens         int           `yaml:"short_tokens"`
	LongAnswerTokens    int           `yaml:"long_answer_tokens"`
	ShortAnswerTokens   int           `yaml:"short_answer_tokens"`
	ZipfExponent        float64       `yaml:"hot_exponent"` // of the Zipf distribution of template popularity
	InteractiveDeadline time.Duration `yaml:"interactive_deadline"`
	LongDeadline        time.Duration `yaml:"long_deadline"`
}

// file is the complete deployment file; package settings reads the settings tree.
type file struct {
	Lab      Deployment `yaml:"lab"`
	Settings any        `yaml:"settings"`
	Zones    any        `yaml:"zones"`
}

// Load reads the simulation section of a deployment file.
func Load(path string) (*Deployment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read deployment file %s", path)
	}
	var contents file
	if problems, _ := node.Decode(data, &contents); len(problems) > 0 {
		return nil, eris.Errorf("%s has %d problems:\n%s", path, len(problems), node.FormatProblems(problems))
	}
	deployment := &contents.Lab
	if deployment.Name == "" || len(deployment.Zones) == 0 || len(deployment.Tenants) == 0 || deployment.Model.Workers < 1 {
		return nil, eris.Errorf("%s: incomplete lab section: name, zones, tenants and model_service are required", path)
	}
	return deployment, nil
}

func override[T comparable](target *T, value T) {
	var zero T
	if value != zero {
		*target = value
	}
}

// Rates returns the engine's performance with defaults applied.
func (d *Deployment) Rates() engine.Rates {
	rates := engine.DefaultRates()
	override(&rates.PrefillTokensPerSecond, d.Engine.PrefillTokens)
	override(&rates.ImportTokensPerSecond, d.Engine.ImportTokens)
	override(&rates.DecodeStep, d.Engine.DecodeStep)
	override(&rates.DecodePerSeq, d.Engine.DecodePerSeq)
	override(&rates.MaxBatch, d.Engine.MaxBatch)
	override(&rates.CacheBlocks, d.Engine.CacheBlocks)
	override(&rates.CacheIdleTimeout, d.Engine.CacheIdle)
	override(&rates.EventLag, d.Engine.EventLag)
	override(&rates.EventLossRatio, d.Engine.EventLoss)
	override(&rates.LoadLag, d.Engine.LoadLag)
	override(&rates.LoadTime, d.Weights.LoadTime)
	return rates
}
