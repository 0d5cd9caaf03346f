package catalog

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// TestPublicationsMatchAfterSnapshots checks that replicas hold the same publications whether or not they restored a
// snapshot, ascending by version and ending with the latest one.
func TestPublicationsMatchAfterSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		applied, restored := NewMachine(), NewMachine()
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			command := Command{
				PublishWeights: &WeightsVersion{Model: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), Version: rapid.Uint64Range(1, 100).Draw(t, "version")},
				UnixMS:         rapid.Int64Range(1, 1000).Draw(t, "time"),
			}
			before := len(applied.Publications(command.PublishWeights.Model))
			newer := command.PublishWeights.Version > applied.LatestVersions()[command.PublishWeights.Model]
			applied.Apply(command)
			restored.Apply(command)
			publications := applied.Publications(command.PublishWeights.Model)
			if last := publications[len(publications)-1]; newer && last != (Publication{command.PublishWeights.Version, command.UnixMS}) {
				t.Fatalf("last publication is %+v after %+v", last, command)
			}
			if !newer && len(publications) != before || len(publications) > MaxPublications {
				t.Fatalf("got %d publications, had %d before", len(publications), before)
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				data, err := json.Marshal(restored)
				if err != nil {
					t.Fatal(err)
				}
				restored = NewMachine()
				if err := json.Unmarshal(data, restored); err != nil {
					t.Fatal(err)
				}
			}
		}
		if !reflect.DeepEqual(applied.publications, restored.publications) {
			t.Fatalf("publications %+v, with restored snapshots %+v", applied.publications, restored.publications)
		}
		for model, publications := range applied.publications {
			for i := range publications[1:] {
				if publications[i].Version >= publications[i+1].Version {
					t.Fatalf("publications of %s are not ascending: %+v", model, publications)
				}
			}
			if publications[len(publications)-1].Version != applied.latestVersions[model] {
				t.Fatalf("publications of %s: %+v; want the last one to be version %d", model, publications, applied.latestVersions[model])
			}
		}
	})
}
