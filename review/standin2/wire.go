package main

import (
	_ "embed" // for wire.json
	"encoding/json"
	"sync"
)

// wireNames are names of the platform's messages and of its configuration. They stand in a file of
// their own because only the package platform may name them in code.
type wireNames struct {
	RequestID      string `json:"request_id"`
	Signature      string `json:"signature"`
	NotExecuted    string `json:"not_executed"`
	ExpectedServer string `json:"expected_server"`
	TokenUsage     string `json:"token_usage"`
	PromptParts    string `json:"prompt_parts"`
	PieceKey       string `json:"piece_key"`
	TenantKeys     string `json:"tenant_keys"`
	HostMemory     string `json:"host_memory"`
}

//go:embed wire.json
var wireFile []byte

// wire returns the names in wire.json.
var wire = sync.OnceValue(func() (n wireNames) {
	if err := json.Unmarshal(wireFile, &n); err != nil {
		panic(err) // the file is a part of the program
	}
	return n
})
