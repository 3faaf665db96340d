package dev

import (
	"fmt"
	"io"
	"strings"
)

// Deployment is the name of an example deployment.
type Deployment string

// The example deployments.
const (
	Cylinder Deployment = "cylinder"
	Yardline Deployment = "yardline"
)

// ParseDeployment returns the deployment of that name, or an error if there is none.
func ParseDeployment(name string) (Deployment, error) {
	switch d := Deployment(name); d {
	case Cylinder, Yardline:
		return d, nil
	}
	return "", fmt.Errorf("deployment %q is neither cylinder nor yardline", name)
}

// upstreamCounts returns the number of upstreams by pool. Pools that are not in the
// map get the stand-ins' default number.
func (d Deployment) upstreamCounts() map[string]int {
	if d == Yardline {
		return map[string]int{"engines": 10, "bookings": 5, "billing": 5, "gate-access": 5, "notices": 5}
	}
	return map[string]int{"engines": 20, "orders": 5, "billing": 5, "delivery": 5, "inspection": 5}
}

// exampleCalls describes the example calls of a deployment.
type exampleCalls struct {
	workspace      string
	pipeline       string
	question       string
	servicePath    string
	serviceBody    string
	idempotencyKey string
}

// exampleCalls returns the deployment's example calls.
func (d Deployment) exampleCalls() exampleCalls {
	if d == Yardline {
		return exampleCalls{
			workspace:      "marabella-cranes",
			pipeline:       "yard-question",
			question:       "Is there laydown space for two cranes at the Penal yard on Friday?",
			servicePath:    "bookings/extensions",
			serviceBody:    `{"yard":"penal-2","days":7}`,
			idempotencyKey: "extension-0001",
		}
	}
	return exampleCalls{
		workspace:      "valmiera-welding",
		pipeline:       "stock-question",
		question:       "How many 50 litre argon cylinders are in stock in Daugavpils?",
		servicePath:    "orders/refills",
		serviceBody:    `{"cylinder":"argon-50","count":4}`,
		idempotencyKey: "refill-0001",
	}
}

// printExampleCalls writes the line "ready", an example call per line in the form of a
// curl command, and the URL that returns how often each idempotency key ran.
func (f *Fleet) printExampleCalls() error {
	e := f.options.Deployment.exampleCalls()
	var out strings.Builder
	out.WriteString("ready\n")
	first := "http://" + f.hosts[0].Info().HTTPAddr.String()
	auth := fmt.Sprintf("-H 'Authorization: Bearer demo-key-%s' -H 'Content-Type: application/json'", e.workspace)
	question := fmt.Sprintf(`-d '{"input":%q}' %s/v1/pipelines/%s`, e.question, first, e.pipeline)
	fmt.Fprintf(&out, "curl -sS %s %s\n", auth, question)
	fmt.Fprintf(&out, "curl -sSN %s -H 'Accept: text/event-stream' %s\n", auth, question)
	for _, host := range f.hosts {
		fmt.Fprintf(&out, "curl -sS %s -H 'Idempotency-Key: %s' -d '%s' http://%s/v1/services/%s\n",
			auth, e.idempotencyKey, e.serviceBody, host.Info().HTTPAddr, e.servicePath)
	}
	fmt.Fprintf(&out, "executions %s\n", f.standins.ExecutionsURL())
	_, err := io.WriteString(f.options.Out, out.String())
	return err
}
