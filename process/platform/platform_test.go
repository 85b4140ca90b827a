package platform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

// both runs a test against a Memory and against a Remote that calls the Handler
// of a Memory.
func both(t *testing.T, test func(t *testing.T, m *Memory, p Platform)) {
	t.Run("memory", func(t *testing.T) {
		m := &Memory{}
		test(t, m, m.Platform())
	})
	t.Run("remote", func(t *testing.T) {
		m := &Memory{}
		server := httptest.NewServer(m.Handler())
		t.Cleanup(server.Close)
		test(t, m, (&Remote{URL: server.URL, HTTP: server.Client()}).Platform())
	})
}

func put(key, value string, version int64) Op {
	return Op{Kind: Put, Key: key, Value: []byte(value), Version: version}
}

// Guards against differences between Memory, which tests use, and Remote, which
// processes use.
func TestRowsAndObjects(t *testing.T) {
	both(t, func(t *testing.T, m *Memory, p Platform) {
		ctx := context.Background()
		require.NoError(t, p.Commit(ctx, []Op{put("a/1", "x", 0), put("a/2 &?", "\x00\xff", 0), put("b", "z", 0)}))
		row, err := p.Get(ctx, "a/2 &?")
		require.NoError(t, err)
		require.Equal(t, Row{Key: "a/2 &?", Value: []byte("\x00\xff"), Version: 1}, row)
		row, err = p.Get(ctx, "none")
		require.NoError(t, err)
		require.Equal(t, Row{Key: "none"}, row)
		for _, c := range []struct {
			prefix, after string
			n             int
			want          []string
		}{
			{"a/", "", 10, []string{"a/1", "a/2 &?"}},
			{"a/", "", 1, []string{"a/1"}},
			{"", "a/1", 10, []string{"a/2 &?", "b"}},
			{"c", "", 10, nil},
		} {
			rows, err := p.List(ctx, c.prefix, c.after, c.n)
			require.NoError(t, err)
			var keys []string
			for _, row := range rows {
				keys = append(keys, row.Key)
			}
			require.Equal(t, c.want, keys)
		}
		_, err = p.GetObject(ctx, "o")
		require.ErrorIs(t, err, ErrAbsent)
		require.NoError(t, p.PutObject(ctx, "o", []byte("\x00data")))
		data, err := p.GetObject(ctx, "o")
		require.NoError(t, err)
		require.Equal(t, "\x00data", string(data))
		m.SetInstances([]Instance{{ID: "i1", Addr: "10.0.0.1:80", Leaving: true}})
		list, err := p.Instances(ctx)
		require.NoError(t, err)
		require.Equal(t, []Instance{{ID: "i1", Addr: "10.0.0.1:80", Leaving: true}}, list)
	})
}

// Guards against a commit that takes effect in part, and against a version that
// is used again after its row was deleted.
func TestCommitIsConditional(t *testing.T) {
	both(t, func(t *testing.T, _ *Memory, p Platform) {
		ctx := context.Background()
		for _, c := range []struct {
			ops  []Op
			want error
		}{
			{[]Op{put("a", "1", 0), put("b", "1", 0)}, nil},
			{[]Op{put("a", "2", 1), put("b", "2", 0)}, ErrConflict},
			{[]Op{put("a", "2", 1), {Kind: Check, Key: "b", Version: 2}}, ErrConflict},
			{[]Op{put("a", "2", 1), {Kind: Check, Key: "b", Version: 1}}, nil},
			{[]Op{{Kind: Delete, Key: "a", Version: 1}}, ErrConflict},
			{[]Op{{Kind: Delete, Key: "a", Version: 2}}, nil},
			{[]Op{put("a", "3", 2)}, ErrConflict},
			{[]Op{put("a", "3", 0)}, nil},
		} {
			require.ErrorIs(t, p.Commit(ctx, c.ops), c.want)
		}
		row, err := p.Get(ctx, "a")
		require.NoError(t, err)
		require.Equal(t, Row{Key: "a", Value: []byte("3"), Version: 3}, row)
	})
}

// Guards against a failure that is reported as another kind. The errors are
// compared with errors.Is of the standard library, because programs that embed
// the package may use it.
func TestFailures(t *testing.T) {
	both(t, func(t *testing.T, m *Memory, p Platform) {
		ctx := context.Background()
		m.Writes = rate.NewLimiter(0, 3) // three writes in all
		calls := map[string]func() error{
			"get":       func() error { _, err := p.Get(ctx, "a"); return err },
			"list":      func() error { _, err := p.List(ctx, "", "", 1); return err },
			"object":    func() error { _, err := p.GetObject(ctx, "o"); return err },
			"instances": func() error { _, err := p.Instances(ctx); return err },
			"commit":    func() error { return p.Commit(ctx, []Op{put("a", "1", 0)}) },
			"put":       func() error { return p.PutObject(ctx, "o", []byte("1")) },
		}
		m.Break(Faults{Down: true})
		for name, call := range calls {
			require.True(t, errors.Is(call(), ErrDown), name)
		}
		m.Break(Faults{Lose: 1})
		for _, name := range []string{"commit", "put"} {
			require.True(t, errors.Is(calls[name](), ErrUnknown), name)
		}
		m.Break(Faults{})
		row, err := p.Get(ctx, "a")
		require.NoError(t, err)
		require.Equal(t, int64(1), row.Version, "the write took effect once")
		data, err := p.GetObject(ctx, "o")
		require.NoError(t, err)
		require.Equal(t, "1", string(data))
		err = p.Commit(ctx, []Op{put("b", "1", 0), put("c", "1", 0)})
		require.True(t, errors.Is(err, ErrLimited))
		row, err = p.Get(ctx, "b")
		require.NoError(t, err)
		require.Zero(t, row.Version, "a limited write has no effect")
		require.Equal(t, int64(2), m.Usage().Writes)
	})
}

// Guards against a failed read that is reported like a write with unknown
// outcome, and the reverse.
func TestRemoteWithoutAnswer(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"cut":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"status": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
		"slow": func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body was read
			<-r.Context().Done()
		},
		"short": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "9") },
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			p := (&Remote{URL: server.URL, HTTP: server.Client()}).Platform()
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := p.Get(ctx, "a")
			require.True(t, errors.Is(err, ErrDown), err)
			ctx, cancel = context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			err = p.Commit(ctx, []Op{put("a", "1", 0)})
			require.True(t, errors.Is(err, ErrUnknown), err)
		})
	}
}
