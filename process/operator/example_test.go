package operator_test

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/operator"
)

func ExampleParse() {
	_, err := operator.Parse("set service chat policy twochioce")
	fmt.Println(err)
	// Output:
	// unknown policy "twochioce"; did you mean "twochoice"?
	//   set service chat policy twochioce
	//                           ^
	// allowed: current, previous, roundrobin, leastconn, twochoice
}

func ExampleExecutor_Run() {
	streams := operator.Table{
		Columns: []operator.Column{{Name: "id", Kind: operator.Text}, {Name: "wait", Kind: operator.Duration}},
		Rows: [][]operator.Value{
			{operator.TextOf("s1"), operator.DurationOf(2500 * time.Millisecond)},
			{operator.TextOf("s2"), operator.DurationOf(40 * time.Millisecond)},
		},
	}
	executor := operator.Executor{Sources: operator.Sources{Entry: "n1", Streams: func() operator.Table { return streams }}}
	answer, err := executor.Run(context.Background(), "ann", "show streams where wait >= 2s", nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = operator.Write(os.Stdout, *answer.Table)
	_ = operator.WriteJSON(os.Stdout, *answer.Table)
	// Output:
	// entry  id  wait
	// n1     s1  2.5s
	// (1 rows)
	// {"rows":[{"entry":"n1","id":"s1","wait":2.5}],"missing":[]}
}

func ExampleMerge() {
	newer := operator.Table{
		Columns: []operator.Column{{Name: "entry", Kind: operator.Text}, {Name: "gap", Kind: operator.Number}},
		Rows:    [][]operator.Value{{operator.TextOf("n1"), operator.NumberOf(3)}},
	}
	older := operator.Table{
		Columns: []operator.Column{{Name: "entry", Kind: operator.Text}},
		Rows:    [][]operator.Value{{operator.TextOf("n2")}},
		Missing: []string{"n3"},
	}
	_ = operator.Write(os.Stdout, operator.Merge([]operator.Table{newer, older}))
	// Output:
	// entry  gap
	// n1       3
	// n2
	// (2 rows)
	// no answer from: n3
}
