package member

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"daisylug.example/scheduler/platform"
)

// TestOwnerMovesOnlyWhatMustMove checks that the removal of a member moves only
// the keys of that member.
func TestOwnerMovesOnlyWhatMustMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 1, 12, rapid.ID[string]).Draw(t, "names")
		var members []platform.Instance
		for _, n := range names {
			members = append(members, platform.Instance{Name: n, Weight: rapid.IntRange(1, 8).Draw(t, "weight")})
		}
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		rest := append([]platform.Instance{}, members...)
		if rapid.Bool().Draw(t, "leaves") {
			rest[gone].State = platform.StateLeaving
		} else {
			rest = append(rest[:gone], rest[gone+1:]...)
		}
		// The result must not depend on the order of the members.
		rest = rapid.Permutation(rest).Draw(t, "order")
		for k := range 64 {
			key := fmt.Sprint("rack-", k)
			before, ok := Owner(key, members)
			if !ok {
				t.Fatalf("no owner of %s", key)
			}
			after, ok := Owner(key, rest)
			if ok != (len(members) > 1) {
				t.Fatalf("owner of %s found: %v", key, ok)
			}
			if before.Name != members[gone].Name && after.Name != before.Name {
				t.Fatalf("%s moved from %s to %s, but only %s was removed", key, before.Name, after.Name, members[gone].Name)
			}
		}
	})
}

// TestOwnerHonoursWeights checks that members own keys in proportion to their
// weights.
func TestOwnerHonoursWeights(t *testing.T) {
	const keys = 40000
	members := []platform.Instance{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 5}}
	owned := map[string]int{}
	for k := range keys {
		o, _ := Owner(fmt.Sprint("key", k), members)
		owned[o.Name]++
	}
	for _, m := range members {
		want := float64(keys*m.Weight) / 8
		if got := float64(owned[m.Name]); got < 0.95*want || got > 1.05*want {
			t.Errorf("%s owns %v keys, want %v within 5 %%", m.Name, got, want)
		}
	}
}

// BenchmarkOwner measures the cost of one lookup by the number of members.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{7, 14, 28} {
		var members []platform.Instance
		for i := range n {
			members = append(members, platform.Instance{Name: fmt.Sprint("instance-", i), Weight: 1 + i%3})
		}
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			for b.Loop() {
				Owner("rack-17", members)
			}
		})
	}
}
