// Package examples embeds complete operators' documents of two example
// deployments.
package examples

import (
	"embed"
	"fmt"
)

//go:embed *.yaml
var files embed.FS

// Document returns the document of an example deployment: "cylinder" or
// "yardline".
func Document(deployment string) ([]byte, error) {
	text, err := files.ReadFile(deployment + ".yaml")
	if err != nil {
		return nil, fmt.Errorf("no example document for %q", deployment)
	}
	return text, nil
}
