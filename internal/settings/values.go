// Package settings holds the tree of operator settings: defaults at the root, overridden by zones, services
// and tenants. It does no I/O: Machine applies changes from the replicated log, Tree resolves the effective
// values for a request, and check.go validates trees and edits.
package settings

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// Values are the effective settings for a zone, service and tenant. The reference table in docs/CONFIGURATION.md
// is generated from the field tags.
type Values struct {
	Kind                  string   `json:"kind" default:"llm" enum:"llm,service" unit:"name" levels:"service" help:"llm: model engines with prefix caches; service: small back ends that answer whole requests"`
	Model                 string   `json:"model" default:"" unit:"name" levels:"service" help:"model name in callers' requests that this service answers; empty means the service's own name"`
	Repeatable            bool     `json:"repeatable" default:"true" unit:"flag" levels:"service" help:"false: a request runs at most once, must carry an Idempotency-Key and is claimed in the run ledger"`
	WeightsVersion        string   `json:"weights_version" default:"w1" unit:"name" levels:"root,zone,service" help:"weights that the engines are ordered to load"`
	MaxConcurrentLoads    int      `json:"max_concurrent_loads" default:"2" min:"1" max:"1000" unit:"engines" levels:"root,zone,service" help:"engines of the service that load weights at the same time"`
	TimeWeight            float64  `json:"time_weight" default:"0.5" min:"0" max:"1" unit:"share" levels:"root,zone,service" help:"weight of the predicted time to first token in placement"`
	RecomputeWeight       float64  `json:"recompute_weight" default:"0.5" min:"0" max:"1" unit:"share" levels:"root,zone,service" help:"weight of the prefill that placement would repeat"`
	RequestDeadlineMS     int      `json:"request_deadline_ms" default:"20000" min:"50" max:"600000" unit:"ms" levels:"root,zone,service,tenant" help:"time within which the first token must come; a request predicted later is refused at once"`
	InteractiveDeadlineMS int      `json:"interactive_deadline_ms" default:"5000" min:"50" max:"600000" unit:"ms" levels:"root,zone,service,tenant" help:"the same for the interactive lane"`
	InteractiveMaxTokens  int      `json:"interactive_max_tokens" default:"512" min:"0" max:"1000000" unit:"tokens" levels:"root,zone,service,tenant" help:"longest uncached prompt that goes into the interactive lane without asking for it"`
	ShareWeight           float64  `json:"share_weight" default:"1" min:"0.01" max:"1000" unit:"ratio" levels:"root,zone,service,tenant" help:"weight of a tenant in the fair queue"`
	RequestsPerSecond     float64  `json:"requests_per_second" default:"0" min:"0" max:"1000000" unit:"requests/s" levels:"root,zone,service,tenant" help:"rate limit of a tenant at each router; 0 is no limit"`
	RequestBurst          int      `json:"request_burst" default:"20" min:"1" max:"1000000" unit:"requests" levels:"root,zone,service,tenant" help:"requests a tenant may send at once above its rate"`
	MaxConcurrent         int      `json:"max_concurrent" default:"0" min:"0" max:"1000000" unit:"requests" levels:"root,zone,service,tenant" help:"running and queued requests of a tenant at each router; 0 is no limit"`
	EngineConcurrency     int      `json:"engine_concurrency" default:"16" min:"1" max:"10000" unit:"requests" levels:"root,zone,service" help:"running requests on one engine, as this router sees it, before requests queue in the router"`
	QueueLimit            int      `json:"queue_limit" default:"512" min:"0" max:"100000" unit:"requests" levels:"root,zone,service" help:"requests queued in a router for the service; more are refused"`
	RetryAttempts         int      `json:"retry_attempts" default:"3" min:"1" max:"10" unit:"attempts" levels:"root,zone,service" help:"attempts of one request, the first included"`
	RetryBudgetPercent    float64  `json:"retry_budget_percent" default:"20" min:"0" max:"100" unit:"percent" levels:"root,zone,service" help:"retries as a share of first attempts at one router"`
	HedgeAfterMS          int      `json:"hedge_after_ms" default:"0" min:"0" max:"600000" unit:"ms" levels:"root,zone,service" help:"silence before the first token after which a repeatable request is also sent to a second engine; 0 is never"`
	WhenCutOff            string   `json:"when_cut_off" default:"refuse" enum:"refuse,serve_last" unit:"name" levels:"root,zone" help:"what a router without a settings lease does with new requests"`
	RetentionSeconds      int      `json:"idempotency_retention_s" default:"86400" min:"60" max:"2592000" unit:"s" levels:"root,service" help:"how long a stored answer of a non-repeatable request is kept; afterwards its key is refused"`
	MaxPromptBytes        int      `json:"max_prompt_bytes" default:"1048576" min:"64" max:"16777216" unit:"bytes" levels:"root,zone,service,tenant" help:"longest request body"`
	MaxOutputTokens       int      `json:"max_output_tokens" default:"1024" min:"1" max:"100000" unit:"tokens" levels:"root,zone,service,tenant" help:"upper bound of the answer"`
	HotCopies             int      `json:"hot_copies" default:"8" min:"1" max:"64" unit:"engines" levels:"root,zone,service" help:"engines that hold a prefix, above which it is not copied to another one"`
	HotRequestsPerMinute  float64  `json:"hot_requests_per_minute" default:"120" min:"1" max:"1000000" unit:"requests/min" levels:"root,zone,service" help:"rate of one prefix above which another copy is made"`
	VaultKeep             bool     `json:"vault_keep" default:"true" unit:"flag" levels:"root,zone,service" help:"hot prefixes are also kept in the zone's KV store and imported from there"`
	SuspectAfterMS        int      `json:"suspect_after_ms" default:"1500" min:"100" max:"60000" unit:"ms" levels:"root,zone,service" help:"silence after which a back end gets no new work"`
	StallAfterMS          int      `json:"stall_after_ms" default:"10000" min:"100" max:"600000" unit:"ms" levels:"root,zone,service" help:"time between two tokens after which a stream is continued on another engine"`
	APIKeySHA256          []string `json:"api_key_sha256" default:"" unit:"hex SHA-256" levels:"tenant" help:"digests of the tenant's API keys"`
}

// Values of the setting "kind".
const (
	KindLLM     = "llm"     // model engines with prefix caches
	KindService = "service" // small back ends that answer whole requests
)

// Overrides are the settings that one node of the tree sets; nil fields are inherited. The fields must be in the
// order of Values.
type Overrides struct {
	Kind                  *string   `json:"kind,omitempty"`
	Model                 *string   `json:"model,omitempty"`
	Repeatable            *bool     `json:"repeatable,omitempty"`
	WeightsVersion        *string   `json:"weights_version,omitempty"`
	MaxConcurrentLoads    *int      `json:"max_concurrent_loads,omitempty"`
	TimeWeight            *float64  `json:"time_weight,omitempty"`
	RecomputeWeight       *float64  `json:"recompute_weight,omitempty"`
	RequestDeadlineMS     *int      `json:"request_deadline_ms,omitempty"`
	InteractiveDeadlineMS *int      `json:"interactive_deadline_ms,omitempty"`
	InteractiveMaxTokens  *int      `json:"interactive_max_tokens,omitempty"`
	ShareWeight           *float64  `json:"share_weight,omitempty"`
	RequestsPerSecond     *float64  `json:"requests_per_second,omitempty"`
	RequestBurst          *int      `json:"request_burst,omitempty"`
	MaxConcurrent         *int      `json:"max_concurrent,omitempty"`
	EngineConcurrency     *int      `json:"engine_concurrency,omitempty"`
	QueueLimit            *int      `json:"queue_limit,omitempty"`
	RetryAttempts         *int      `json:"retry_attempts,omitempty"`
	RetryBudgetPercent    *float64  `json:"retry_budget_percent,omitempty"`
	HedgeAfterMS          *int      `json:"hedge_after_ms,omitempty"`
	WhenCutOff            *string   `json:"when_cut_off,omitempty"`
	RetentionSeconds      *int      `json:"idempotency_retention_s,omitempty"`
	MaxPromptBytes        *int      `json:"max_prompt_bytes,omitempty"`
	MaxOutputTokens       *int      `json:"max_output_tokens,omitempty"`
	HotCopies             *int      `json:"hot_copies,omitempty"`
	HotRequestsPerMinute  *float64  `json:"hot_requests_per_minute,omitempty"`
	VaultKeep             *bool     `json:"vault_keep,omitempty"`
	SuspectAfterMS        *int      `json:"suspect_after_ms,omitempty"`
	StallAfterMS          *int      `json:"stall_after_ms,omitempty"`
	APIKeySHA256          *[]string `json:"api_key_sha256,omitempty"`
}

// Definition describes one setting: its type, unit, default, allowed values and levels.
type Definition struct {
	Name    string
	Type    string
	Unit    string
	Default string
	Range   string
	Enum    []string
	Levels  []string
	Help    string

	minimum, maximum float64
	bounded          bool
	field            int // index of the field in Values and Overrides
}

var definitions, definitionByName = buildDefinitions()

// Definitions returns every setting in the order of Values.
func Definitions() []Definition { return definitions }

func buildDefinitions() ([]Definition, map[string]Definition) {
	valuesType := reflect.TypeFor[Values]()
	list := make([]Definition, 0, valuesType.NumField())
	byName := make(map[string]Definition, valuesType.NumField())
	for i := range valuesType.NumField() {
		definition := defineField(valuesType.Field(i), i)
		list = append(list, definition)
		byName[definition.Name] = definition
	}
	return list, byName
}

func defineField(field reflect.StructField, index int) Definition {
	tag := field.Tag
	definition := Definition{
		Name: tag.Get("json"), Type: field.Type.String(), Unit: tag.Get("unit"), Default: tag.Get("default"),
		Levels: strings.Split(tag.Get("levels"), ","), Help: tag.Get("help"), field: index,
	}
	if enum := tag.Get("enum"); enum != "" {
		definition.Enum = strings.Split(enum, ",")
		definition.Range = strings.Join(definition.Enum, " | ")
	}
	if tag.Get("max") != "" {
		definition.minimum, _ = strconv.ParseFloat(tag.Get("min"), 64)
		definition.maximum, _ = strconv.ParseFloat(tag.Get("max"), 64)
		definition.bounded = true
		definition.Range = tag.Get("min") + " to " + tag.Get("max")
	}
	return definition
}

// Defaults returns the values of an empty tree.
func Defaults() Values {
	var values Values
	target := reflect.ValueOf(&values).Elem()
	for _, definition := range definitions {
		setDefault(target.Field(definition.field), definition.Default)
	}
	return values
}

func setDefault(field reflect.Value, text string) {
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Bool:
		field.SetBool(text == "true")
	case reflect.Int:
		number, _ := strconv.Atoi(text)
		field.SetInt(int64(number))
	case reflect.Float64:
		number, _ := strconv.ParseFloat(text, 64)
		field.SetFloat(number)
	}
}

// apply copies the fields that are set to values and calls onSet, unless nil, with the name of each.
func (o Overrides) apply(values *Values, onSet func(name string)) {
	source := reflect.ValueOf(o)
	target := reflect.ValueOf(values).Elem()
	for _, definition := range definitions {
		pointer := source.Field(definition.field)
		if pointer.IsNil() {
			continue
		}
		target.Field(definition.field).Set(pointer.Elem())
		if onSet != nil {
			onSet(definition.Name)
		}
	}
}

// Empty reports whether the node sets nothing.
func (o Overrides) Empty() bool { return reflect.ValueOf(o).IsZero() }

// Get returns the JSON form of a setting, or false when the node does not set it.
func (o Overrides) Get(name string) (json.RawMessage, bool) {
	definition, known := definitionByName[name]
	if !known {
		return nil, false
	}
	pointer := reflect.ValueOf(o).Field(definition.field)
	if pointer.IsNil() {
		return nil, false
	}
	data, err := json.Marshal(pointer.Interface())
	if err != nil {
		panic("settings: value of " + name + " cannot be encoded: " + err.Error())
	}
	return data, true
}

// withSetting returns a copy with one setting set, or inherited when value is nil.
func (o Overrides) withSetting(definition Definition, value json.RawMessage) (Overrides, error) {
	target := reflect.ValueOf(&o).Elem().Field(definition.field)
	if value == nil {
		target.SetZero()
		return o, nil
	}
	pointer := reflect.New(target.Type().Elem())
	if err := json.Unmarshal(value, pointer.Interface()); err != nil {
		return o, err
	}
	target.Set(pointer)
	return o, nil
}
