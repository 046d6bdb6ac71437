package wire

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
	"github.com/burdockwood/burdockwood/internal/standin/sqltext"
)

// sleepTime returns the time for which the statement's call of pg_sleep sleeps;
// 0 if it has none.
func sleepTime(statement sqltext.Statement, arguments []commitlog.Value) time.Duration {
	if !statement.Has("PG_SLEEP") {
		return 0
	}
	call := sleepCall.FindStringSubmatch(statement.SQL)
	if call == nil {
		return 0
	}
	text := call[1]
	if number, ok := strings.CutPrefix(text, "?"); ok {
		text = argumentText(arguments, number)
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func argumentText(arguments []commitlog.Value, number string) string {
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > len(arguments) {
		return ""
	}
	switch v := arguments[n-1]; {
	case v.Int != nil:
		return strconv.FormatInt(*v.Int, 10)
	case v.Real != nil:
		return strconv.FormatFloat(*v.Real, 'g', -1, 64)
	case v.Text != nil:
		return *v.Text
	default:
		return ""
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
