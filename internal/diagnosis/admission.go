package diagnosis

import "fmt"

// admissionCauses explains the causes of a refusal by admission control.
var admissionCauses = map[string]string{
	"no_room": "no engine had memory for it",
	"late":    "the prompts that engines still had to compute would have made it late",
	"held":    "it was held for a part of its latency target, and no engine could serve it in time",
}

// describeAdmission explains a refusal by admission control, if the lines of the request
// tell of one.
func describeAdmission(list []Line) (string, bool) {
	x, ok := lastEvent(list, "not_placed")
	cause := admissionCauses[x.get("cause")]
	if !ok || cause == "" {
		return "", false
	}
	return fmt.Sprintf("overload: %s (waited %s ms, first event forecast in %s ms, room in %s ms, %s requests waiting, told to return after %s ms)",
		cause, x.get("waited"), x.get("forecast"), x.get("room"), x.get("queue"), x.get("retry")), true
}
