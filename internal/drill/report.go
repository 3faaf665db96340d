package drill

import (
	"fmt"
	"io"
	"strings"
)

// Invariant is one promise and what the drill measured about it.
type Invariant struct {
	Name string
	// Held says that no breach was seen.
	Held    bool
	Figures string
	// Breaches are examples of what was seen.
	Breaches []string
}

// Report is the account of a drill.
type Report struct {
	Seed       uint64
	Invariants []Invariant
	// Notes are figures that no promise depends on.
	Notes []string
}

// Held says whether every invariant held.
func (r *Report) Held() bool {
	for _, i := range r.Invariants {
		if !i.Held {
			return false
		}
	}
	return true
}

// maxShown bounds the examples of a breach that are printed.
const maxShown = 5

// Write prints one line for each invariant, examples of breaches, and the seed.
func (r *Report) Write(w io.Writer) error {
	var out strings.Builder
	for _, i := range r.Invariants {
		verdict := "held  "
		if !i.Held {
			verdict = "BROKEN"
		}
		fmt.Fprintf(&out, "%s %-22s %s\n", verdict, i.Name, i.Figures)
		for n, b := range i.Breaches {
			if n == maxShown {
				fmt.Fprintf(&out, "         and %d more\n", len(i.Breaches)-maxShown)
				break
			}
			fmt.Fprintf(&out, "         %s\n", b)
		}
	}
	for _, note := range r.Notes {
		fmt.Fprintf(&out, "note   %s\n", note)
	}
	fmt.Fprintf(&out, "seed   %d\n", r.Seed)
	_, err := io.WriteString(w, out.String())
	return err
}

// add adds an invariant that holds if it has no breach.
func (r *Report) add(name string, breaches []string, format string, args ...any) {
	r.Invariants = append(r.Invariants, Invariant{
		Name: name, Held: len(breaches) == 0, Figures: fmt.Sprintf(format, args...), Breaches: breaches,
	})
}
