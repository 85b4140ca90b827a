package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// TestPanic guards against an answer that looks whole though its handler panicked: the
// refusal followed what had been sent.
func TestPanic(t *testing.T) {
	for name, sent := range map[string]string{"before the answer": "", "in the answer": "data: a\n\n"} {
		t.Run(name, func(t *testing.T) {
			log, lines := test.NewNullLogger()
			e := &Entry{Log: log}
			server := httptest.NewServer(e.recovering(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if sent != "" {
					_, _ = io.WriteString(w, sent)
				}
				panic("fault of the test")
			})))
			defer server.Close()
			res, err := http.Get(server.URL)
			require.NoError(t, err)
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			require.Contains(t, lines.LastEntry().Data["stack"], "panic_test.go")
			if sent != "" {
				require.Equal(t, sent, string(body))
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				return
			}
			require.NoError(t, err)
			require.Equal(t, http.StatusInternalServerError, res.StatusCode)
			require.Equal(t, refusal.Unknown, refusal.Parse(body).Outcome)
		})
	}
}
