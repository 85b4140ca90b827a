package resume_test

import (
	"fmt"
	"time"

	"github.com/eelgrassdock/eelgrassdock/request/resume"
)

// An entry seals a token for a stream. Any entry with the secret can open it,
// but only for the account and the caller that it was sealed for.
func ExampleSealer() {
	now := time.Unix(1_800_000_000, 0)
	s := resume.Sealer{Secrets: []string{"00112233445566778899aabbccddeeff"}}
	sealed, err := s.Seal(resume.Token{
		Endpoint: "e1", Boot: "b7", Generation: "g42", Account: "tandem", Caller: "ann", Until: now.Add(time.Hour),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	id := resume.Join(sealed, 17) // the id of the event with token 17
	sealed, n, _ := resume.Split(id)
	token, err := s.Open(sealed, "tandem", "ann", now)
	fmt.Println(token.Endpoint, token.Generation, n, err)
	_, err = s.Open(sealed, "tandem", "ben", now)
	fmt.Println(err)
	// Output:
	// e1 g42 17 <nil>
	// token belongs to another caller: resume token is not valid
}
