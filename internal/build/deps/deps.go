//go:build deps

// Package deps keeps declared libraries in go.mod until the packages that use
// them have landed.
package deps

import (
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-logr/logr"
	_ "github.com/go-logr/logr/funcr"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/jackc/pgx/v5/stdlib"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/oklog/run"
	_ "github.com/prometheus/client_model/go"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rotisserie/eris"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/term"
	_ "golang.org/x/time/rate"
	_ "modernc.org/sqlite"
	_ "pgregory.net/rapid"
)
