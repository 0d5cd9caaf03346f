package node

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

const validRouterFile = `name: r1
zone: z1
data: /tmp/r1
cluster_token: secret
admin_token: secret
router:
  listen: 127.0.0.1:8080
  control: [127.0.0.1:9000]
  platform: 127.0.0.1:9100
  prefix_key: 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
`

func TestParseAppliesDefaults(t *testing.T) {
	file, problems := Parse([]byte(validRouterFile))
	if len(problems) > 0 {
		t.Fatalf("problems in a valid file:\n%s", FormatProblems(problems))
	}
	if file.Router.BlockTokens != defaultBlockTokens || file.Router.PollInterval != defaultPollInterval || file.LogLevel != "info" {
		t.Fatalf("defaults are missing in %+v, router section %+v", file, file.Router)
	}
}

// TestParseReportsEveryProblemWithItsLine: one call reports all problems, each with line, path and allowed values.
func TestParseReportsEveryProblemWithItsLine(t *testing.T) {
	invalidFile := strings.NewReplacer("listen: 127.0.0.1:8080", "listen: localhost:80", "platform: 127.0.0.1:9100", "plattform: 127.0.0.1:9100",
		"prefix_key: 0001", "poll_every: soon\n  prefix_key: zz01").Replace(validRouterFile) + "colour: blue\n"
	_, problems := Parse([]byte(invalidFile))
	text := FormatProblems(problems)
	for _, want := range []string{"line 7: router.listen", "numeric IP address", "line 9: router.plattform", "router.platform", "line 10: router.poll_every",
		"line 11: router.prefix_key", "line 12: colour"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
}

func TestParseRejectsFileWithoutSection(t *testing.T) {
	if _, problems := Parse([]byte("name: a\nzone: b\ndata: c\n")); len(problems) != 1 {
		t.Fatalf("got problems %v, want exactly one", problems)
	}
}

// FuzzParse: no input may make the decoder panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validRouterFile))
	f.Add([]byte("router: [1, 2]\n"))
	f.Add([]byte("name: {a: b}\nrouter:\n  zone_latency: {z: 1ms}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, problems := Parse(data)
		if len(problems) == 0 && file.Router == nil && file.Control == nil {
			t.Fatal("a file with neither a router nor a control section was accepted")
		}
	})
}

// keysOf returns the dotted keys of a settings struct.
func keysOf(t reflect.Type, prefix string) []string {
	var keys []string
	for i := range t.NumField() {
		field := t.Field(i)
		key := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Pointer {
			keys = append(keys, keysOf(field.Type.Elem(), key+".")...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

func TestEveryKeyIsDocumented(t *testing.T) {
	documentation, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range keysOf(reflect.TypeFor[File](), "") {
		if !strings.Contains(string(documentation), "| `"+key+"` |") {
			t.Errorf("docs/CONFIGURATION.md does not describe %s", key)
		}
	}
}
