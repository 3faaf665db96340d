package main

import (
	_ "embed" // for wire.json
	"encoding/json"
)

// wireNames are names of the platform's messages and of its configuration. They stand in a file of
// their own because only the package platform may name them in code.
type wireNames struct {
	RequestID      string `json:"request_id"`
	Stamp          string `json:"stamp"`
	NotRun         string `json:"not_run"`
	ExpectedServer string `json:"expected_server"`
	Tokens         string `json:"tokens"`
	PromptParts    string `json:"prompt_parts"`
	PieceKey       string `json:"piece_key"`
	TenantKeys     string `json:"tenant_keys"`
	ResultMemory   string `json:"result_memory"`
	Leaving        string `json:"leaving"`
	Load           string `json:"load"`
}

//go:embed wire.json
var wireFile []byte

// wire holds the names in wire.json.
var wire = readWireNames()

func readWireNames() (n wireNames) {
	if err := json.Unmarshal(wireFile, &n); err != nil {
		panic(err) // the file is a part of the program
	}
	return n
}
