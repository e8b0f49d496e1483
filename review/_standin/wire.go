package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireJSON []byte

// wire holds names of the platform's protocol. They stand in a file of their own, since Go
// code outside platform/ does not use them.
var wire = func() (names struct{ ColdLeft, DutyHolder, FenceToken, Keys, Staleness, SyncReplicas string }) {
	if err := json.Unmarshal(wireJSON, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}()
