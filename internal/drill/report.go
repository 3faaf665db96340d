package drill

import (
	"fmt"
	"io"
	"strings"
)

// Invariant is the result of checking one invariant.
type Invariant struct {
	Name string
	// Held reports that no breach was found.
	Held    bool
	Figures string
	// Breaches describe the violations that were found.
	Breaches []string
}

// Report is the result of a drill.
type Report struct {
	Seed       uint64
	Invariants []Invariant
	// Notes are further figures that no invariant checks.
	Notes []string
}

// Held reports whether every invariant held.
func (r *Report) Held() bool {
	for _, i := range r.Invariants {
		if !i.Held {
			return false
		}
	}
	return true
}

// maxBreachesShown limits the breaches that are printed for each invariant.
const maxBreachesShown = 5

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
			if n == maxBreachesShown {
				fmt.Fprintf(&out, "         and %d more\n", len(i.Breaches)-maxBreachesShown)
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

// addInvariant adds an invariant, which held if there are no breaches.
func (r *Report) addInvariant(name string, breaches []string, format string, args ...any) {
	r.Invariants = append(r.Invariants, Invariant{
		Name: name, Held: len(breaches) == 0, Figures: fmt.Sprintf(format, args...), Breaches: breaches,
	})
}
