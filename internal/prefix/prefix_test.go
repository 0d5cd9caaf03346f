package prefix

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/guard"
)

const testBlock = 8

func testHasher() *Hasher { return NewHasher([KeyBytes]byte{1}, testBlock, guard.Set{}) }

func TestChainsOfTenantsAndWeightsShareNoHash(t *testing.T) {
	prompt := []byte(strings.Repeat("the same text ", 40))
	h := testHasher()
	seen := map[Hash]string{}
	for _, seed := range [][2]string{{"a", "w1"}, {"b", "w1"}, {"a", "w2"}, {"aw", "1"}, {"", "aw1"}} {
		for _, hash := range h.Chain(seed[0], seed[1], prompt) {
			if other, shared := seen[hash]; shared {
				t.Fatalf("%v has a block hash in common with %s", seed, other)
			}
			seen[hash] = seed[0] + "/" + seed[1]
		}
	}
}

func TestChainSharesExactlyTheCommonPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "common")
		left := append(append([]byte{}, common...), rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "left")...)
		right := append(append([]byte{}, common...), rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "right")...)
		a, b := testHasher().Chain("t", "w", left), testHasher().Chain("t", "w", right)
		const blockBytes = testBlock * BytesPerToken
		for i := range min(len(a), len(b)) {
			end := (i + 1) * blockBytes
			if same := string(left[:end]) == string(right[:end]); same != (a[i] == b[i]) {
				t.Fatalf("block %d: equal text %v, equal hash %v", i, same, a[i] == b[i])
			}
		}
	})
}

// indexModel is the reference model: the blocks that were added for each engine since it was last invalidated.
type indexModel map[EngineID]map[Hash]bool

func chain(first byte, length int) []Hash {
	blocks := make([]Hash, length)
	for i := range blocks {
		blocks[i] = Hash{first, byte(i)}
	}
	return blocks
}

// TestIndexMatchesReferenceModel checks that nothing is lost while the index is not full and entries have no maximum
// age.
func TestIndexMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index, model := NewIndex(100_000), indexModel{}
		engine := rapid.Map(rapid.IntRange(0, 4), func(i int) EngineID { return EngineID(i) })
		first := rapid.ByteRange(1, 3)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id, blocks := engine.Draw(t, "engine"), chain(first.Draw(t, "chain"), rapid.IntRange(1, 12).Draw(t, "length"))
				index.Add(id, blocks, 0, SourceEvent)
				if model[id] == nil {
					model[id] = map[Hash]bool{}
				}
				for _, hash := range blocks {
					model[id][hash] = true
				}
			},
			"evict the end": func(t *rapid.T) {
				id, blocks := engine.Draw(t, "engine"), chain(first.Draw(t, "chain"), 12)
				from := rapid.IntRange(0, 11).Draw(t, "from")
				index.Remove(id, blocks[from:])
				for _, hash := range blocks[from:] {
					delete(model[id], hash)
				}
			},
			"forget": func(t *rapid.T) {
				id := engine.Draw(t, "engine")
				index.InvalidateEngine(id)
				delete(model, id)
			},
			"sweep": func(*rapid.T) { index.Sweep(0, 10) },
			"": func(t *rapid.T) {
				for start := byte(1); start <= 3; start++ {
					checkLookup(t, index, model, chain(start, 12))
				}
			},
		})
	})
}

// checkLookup compares the longest match and the lengths of all matches with the model.
func checkLookup(t *rapid.T, index *Index, model indexModel, blocks []Hash) {
	longest := 0
	for _, held := range model {
		longest = max(longest, heldPrefix(held, blocks))
	}
	matches := index.Lookup(blocks, 0, nil)
	if longest > 0 && (len(matches) == 0 || matches[0].Blocks != longest) {
		t.Fatalf("longest match of %v, want %d blocks", matches, longest)
	}
	for _, match := range matches {
		if held := heldPrefix(model[match.Engine], blocks); match.Blocks > held {
			t.Fatalf("engine %d matches %d blocks, but holds %d", match.Engine, match.Blocks, held)
		}
	}
}

func heldPrefix(held map[Hash]bool, blocks []Hash) int {
	for i, hash := range blocks {
		if !held[hash] {
			return i
		}
	}
	return len(blocks)
}

func TestIndexStaysWithinItsLimit(t *testing.T) {
	index := NewIndex(50)
	for i := range 40 {
		index.Add(EngineID(i%3), chain(byte(i+1), 5), time.Duration(i)*time.Second, SourceEvent)
		if index.Len() > 50 {
			t.Fatalf("got %d entries, the limit is 50", index.Len())
		}
	}
}

func TestOnlyUnconfirmedEntriesExpire(t *testing.T) {
	index := NewIndex(100)
	index.SetMaxAge(0, time.Second)
	index.Add(0, chain(1, 2), 0, SourceDispatch)
	index.Add(0, chain(2, 2), 0, SourceEvent)
	if found := index.Lookup(chain(1, 2), 2*time.Second, nil); len(found) != 0 {
		t.Fatalf("entry of an old dispatch is still valid: %v", found)
	}
	if found := index.Lookup(chain(2, 2), 2*time.Second, nil); len(found) != 1 {
		t.Fatal("entry confirmed by the engine is no longer valid")
	}
	index.MarkStale(0, 3*time.Second)
	if found := index.Lookup(chain(2, 2), 4*time.Second, nil); len(found) != 0 {
		t.Fatalf("old stale entry is still valid: %v", found)
	}
}

func TestRequestRateOfSteadyRequests(t *testing.T) {
	table := NewRequestRates()
	var rate float64
	for i := range 600 {
		rate = table.Record(Hash{1}, time.Duration(i)*time.Second/2)
	}
	if rate < 110 || rate > 130 {
		t.Fatalf("rate is %.1f per minute, want about 120", rate)
	}
	if cold := table.Rate(Hash{1}, 300*time.Second+2*rateHalfLife); cold > rate/3 {
		t.Fatalf("rate is still %.1f per minute after two half-lives", cold)
	}
}
