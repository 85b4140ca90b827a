package claim_test

import (
	"context"
	"fmt"

	"github.com/eelgrassdock/eelgrassdock/request/claim"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// A request repeated under a bound key gets the first result and does not run
// again.
func ExampleGuard_Do() {
	guard := claim.Guard{Ledger: &claim.Ledger{}, Instance: "riga-1"}
	key, err := claim.NewKey("riga-1")
	if err != nil {
		fmt.Println(err)
		return
	}
	runs := 0
	order := func(context.Context) (claim.Result, error) {
		runs++
		return claim.Result{Status: 201, Body: []byte("booked")}, nil
	}
	req := claim.Request{Account: "tandem", Key: key, Fingerprint: "POST /orders"}
	for range 2 {
		result, err := guard.Do(context.Background(), req, order)
		fmt.Println(result.Status, string(result.Body), err)
	}
	fmt.Println("runs:", runs)
	// Output:
	// 201 booked <nil>
	// 201 booked <nil>
	// runs: 1
}

// A query for a key that the queried entry has not seen bars the key there, so
// that "not run" stays true.
func ExampleLedger_Answer() {
	var ledger claim.Ledger // of the entry riga-1
	key, err := claim.NewKey("riga-1")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(ledger.Answer(context.Background(), claim.Query{Account: "tandem", Key: key}).State)
	guard := claim.Guard{Ledger: &ledger, Instance: "riga-1"}
	_, err = guard.Do(context.Background(), claim.Request{Account: "tandem", Key: key}, nil)
	e := refusal.From(err)
	fmt.Println(e.Reason, e.Outcome)
	// Output:
	// barred
	// key_barred not run
}
