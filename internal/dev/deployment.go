package dev

import (
	"fmt"
	"io"
	"strings"
)

// Deployment names one of the two example deployments.
type Deployment string

// The example deployments.
const (
	Cylinder Deployment = "cylinder"
	Yardline Deployment = "yardline"
)

// Parse checks the name of a deployment.
func Parse(name string) (Deployment, error) {
	switch d := Deployment(name); d {
	case Cylinder, Yardline:
		return d, nil
	}
	return "", fmt.Errorf("deployment %q is neither cylinder nor yardline", name)
}

// counts is how many upstreams each pool has.
func (d Deployment) counts() map[string]int {
	if d == Yardline {
		return map[string]int{"engines": 10, "bookings": 5, "billing": 5, "gate-access": 5, "notices": 5}
	}
	return map[string]int{"engines": 20, "orders": 5, "billing": 5, "delivery": 5, "inspection": 5}
}

// examples is the calls that are shown for a deployment.
type examples struct {
	workspace string
	pipeline  string
	question  string
	service   string
	order     string
	key       string
}

// examples returns the deployment's example calls.
func (d Deployment) examples() examples {
	if d == Yardline {
		return examples{
			workspace: "marabella-cranes",
			pipeline:  "yard-question",
			question:  "Is there laydown space for two cranes at the Penal yard on Friday?",
			service:   "bookings/extensions",
			order:     `{"yard":"penal-2","days":7}`,
			key:       "extension-0001",
		}
	}
	return examples{
		workspace: "valmiera-welding",
		pipeline:  "stock-question",
		question:  "How many 50 litre argon cylinders are in stock in Daugavpils?",
		service:   "orders/refills",
		order:     `{"cylinder":"argon-50","count":4}`,
		key:       "refill-0001",
	}
}

// announce writes that the fleet is ready and the example calls.
func (f *Fleet) announce() error {
	e := f.options.Deployment.examples()
	var out strings.Builder
	out.WriteString("ready\n")
	first := "http://" + f.hosts[0].Info().HTTPAddr.String()
	auth := fmt.Sprintf("-H 'Authorization: Bearer demo-key-%s' -H 'Content-Type: application/json'", e.workspace)
	question := fmt.Sprintf(`-d '{"input":%q}' %s/v1/pipelines/%s`, e.question, first, e.pipeline)
	fmt.Fprintf(&out, "curl -sS %s %s\n", auth, question)
	fmt.Fprintf(&out, "curl -sSN %s -H 'Accept: text/event-stream' %s\n", auth, question)
	for _, host := range f.hosts {
		fmt.Fprintf(&out, "curl -sS %s -H 'Idempotency-Key: %s' -d '%s' http://%s/v1/services/%s\n",
			auth, e.key, e.order, host.Info().HTTPAddr, e.service)
	}
	fmt.Fprintf(&out, "executions %s\n", f.standins.ExecutionsURL())
	_, err := io.WriteString(f.options.Out, out.String())
	return err
}
