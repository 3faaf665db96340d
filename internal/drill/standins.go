package drill

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/internal/standin"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
)

// crashMarker is the text in a request that makes the stand-in engine that runs
// it crash.
const crashMarker = "poison-"

// crashTime is how long a crashed engine stays down.
const crashTime = 1500 * time.Millisecond

// hostListLag is the delay with which the host list shows a change.
const hostListLag = 2 * time.Second

// ExampleDeployments returns the two example deployments. Their documents come from the
// folder or, if it is empty, are the built-in ones.
func ExampleDeployments(folder string, upstreams int) []Deployment {
	all := []Deployment{{Name: "cylinder", Upstreams: upstreams}, {Name: "yardline", Upstreams: upstreams}}
	if folder != "" {
		for i := range all {
			all[i].Path = filepath.Join(folder, all[i].Name+".yaml")
		}
	}
	return all
}

// RunStandins runs the stand-ins of a deployment until ctx ends. It writes the URL of
// their control API as the first line to out.
func RunStandins(ctx context.Context, path string, upstreams int, seed uint64, out io.Writer) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	doc, err := document.Parse(text)
	if err != nil {
		return Error.Wrap(err)
	}
	counts := map[string]int{}
	for _, pool := range doc.Pools {
		counts[pool.Name] = upstreams
	}
	spec := standin.FromDocument(doc, counts)
	spec.Seed = seed
	spec.HostListLag = hostListLag
	d, err := standin.Start(spec)
	if err != nil {
		return Error.Wrap(err)
	}
	defer d.Stop()
	for _, u := range d.Upstreams {
		if u.Kind == document.KindGenerate {
			u.Fault(fault.Fault{Kind: fault.Crash, Marker: crashMarker, ForMS: int(crashTime.Milliseconds())})
		}
	}
	if _, err := fmt.Fprintln(out, d.ControlURL()); err != nil {
		return Error.Wrap(err)
	}
	<-ctx.Done()
	return nil
}
