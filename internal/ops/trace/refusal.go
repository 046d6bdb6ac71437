package trace

import (
	"fmt"
	"strings"
)

const (
	keyCustomer   = "customer"
	keyDigest     = "key-digest"
	keyVersion    = "version"
	keyWithdrawn  = "withdrawn-in"
	keyRate       = "rate"
	keyBurst      = "burst"
	keyOver       = "over-by"
	keyRetryAfter = "retry-after-ms"
	keyRightEnded = "right-ended-ms-ago"
	keyOwnWaiting = "own-waiting"

	// The causes of refusals that concern a customer.
	causeLimit      = "limit"
	causeUnknownKey = "unknown-key"
	causeKeyRight   = "key-right"
	causeOwnWork    = "own-work"

	messageKeyWithdrawn = "key withdrawn"
)

// explainRefusal returns in words why a customer's statement was refused, from the line
// with its outcome and, for a withdrawn key, from the lines that say so. It returns "" if
// the cause concerns no customer.
func explainRefusal(line Line, all []Line) string {
	switch stringField(line.Fields, keyCause) {
	case causeLimit:
		return explainLimit(line.Fields)
	case causeUnknownKey:
		return explainUnknownKey(line, all)
	case causeKeyRight:
		return explainKeyRight(line.Fields)
	case causeOwnWork:
		return explainOwnWork(line.Fields)
	default:
		return ""
	}
}

func explainLimit(fields map[string]any) string {
	text := "customer " + customerOf(fields) + " is over its limit"
	if rate, ok := intField(fields, keyRate); ok {
		burst, _ := intField(fields, keyBurst)
		text += fmt.Sprintf(" of %d a second and bursts of %d", rate, burst)
	}
	if over, ok := intField(fields, keyOver); ok {
		text += fmt.Sprintf(", by %d operations", over)
	}
	if after, ok := intField(fields, keyRetryAfter); ok {
		text += fmt.Sprintf("; the next one may come after %d ms", after)
	}
	return text
}

func explainUnknownKey(line Line, all []Line) string {
	version, hasVersion := intField(line.Fields, keyVersion)
	in := ""
	if hasVersion {
		in = fmt.Sprintf(" in configuration version %d, which was in force at %s", version, line.Process)
	}
	withdrawn, holder, ok := withdrawalOf(line, all)
	if !ok {
		return "no customer holds the caller's key" + in
	}
	return fmt.Sprintf("the key was withdrawn from customer %s in configuration version %d: no customer holds it%s", holder, withdrawn, in)
}

// withdrawalOf returns in which version the key of a line was withdrawn and from which
// customer. The line may say it itself; else a line with the key's digest does.
func withdrawalOf(line Line, all []Line) (version int64, holder string, ok bool) {
	if version, ok := intField(line.Fields, keyWithdrawn); ok && version > 0 {
		return version, customerOf(line.Fields), true
	}
	digest := stringField(line.Fields, keyDigest)
	if digest == "" {
		return 0, "", false
	}
	for _, other := range all {
		if other.Message != messageKeyWithdrawn || stringField(other.Fields, keyDigest) != digest {
			continue
		}
		if v, known := intField(other.Fields, keyVersion); known && v > version {
			version, holder, ok = v, customerOf(other.Fields), true
		}
	}
	return version, holder, ok
}

func explainKeyRight(fields map[string]any) string {
	text := "the proxy couldn't confirm that its keys are in force"
	if ended, ok := intField(fields, keyRightEnded); ok {
		text += fmt.Sprintf(": its right to use them ended %d ms before", ended)
	}
	return text + "; nothing ran, another proxy may answer"
}

func explainOwnWork(fields map[string]any) string {
	text := "it waited behind other work of customer " + customerOf(fields)
	if waiting, ok := intField(fields, keyOwnWaiting); ok {
		text += fmt.Sprintf(", of which %d statements were waiting", waiting)
	}
	return text
}

func customerOf(fields map[string]any) string {
	if name := strings.TrimSpace(stringField(fields, keyCustomer)); name != "" {
		return name
	}
	return causeUnknown
}

func intField(fields map[string]any, key string) (int64, bool) {
	value, ok := fields[key].(float64)
	return int64(value), ok
}
