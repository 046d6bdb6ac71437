package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
	"github.com/burdockwood/burdockwood/internal/standin/engine"
)

const (
	formatText   = 0
	formatBinary = 1

	timeLayout = "2006-01-02 15:04:05.999999Z07:00"
)

var (
	// canonicalInt matches parameters of unspecified type that are passed to
	// SQLite as integers.
	canonicalInt = regexp.MustCompile(`^(0|-?[1-9][0-9]{0,17})$`)
	// integerExpression matches the names of columns that are taken for
	// integers if no row shows their type.
	integerExpression = regexp.MustCompile(`(?i)^\s*(count|sum|total|length|max|min|coalesce|abs|changes)\s*\(`)
)

// column is a column of a result with its PostgreSQL type.
type column struct {
	name string
	oid  uint32
}

// columnsOf returns the columns of a result with their PostgreSQL types. A column
// without a declared type gets the type of its value in the first row.
func columnsOf(described []engine.Column, rows [][]any) []column {
	columns := make([]column, len(described))
	for i, c := range described {
		columns[i] = column{name: c.Name, oid: declaredTypeOID(c)}
		if c.DeclaredType == "" && len(rows) > 0 {
			columns[i].oid = valueOID(rows[0][i], columns[i].oid)
		}
	}
	return columns
}

func declaredTypeOID(c engine.Column) uint32 {
	switch d := c.DeclaredType; {
	case d == "":
		if integerExpression.MatchString(c.Name) {
			return pgtype.Int8OID
		}
		return pgtype.TextOID
	case strings.Contains(d, "INT"):
		return pgtype.Int8OID
	case strings.Contains(d, "BOOL"):
		return pgtype.BoolOID
	case strings.Contains(d, "REAL"), strings.Contains(d, "FLOA"), strings.Contains(d, "DOUB"):
		return pgtype.Float8OID
	case strings.Contains(d, "BLOB"), strings.Contains(d, "BYTEA"):
		return pgtype.ByteaOID
	default:
		return pgtype.TextOID
	}
}

func valueOID(value any, fallback uint32) uint32 {
	switch value.(type) {
	case int64:
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case bool:
		return pgtype.BoolOID
	case []byte:
		return pgtype.ByteaOID
	case string:
		return pgtype.TextOID
	default:
		return fallback
	}
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, c := range columns {
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: typeSize(c.oid),
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return description
}

func typeSize(oid uint32) int16 {
	switch oid {
	case pgtype.Int8OID, pgtype.Float8OID:
		return 8
	case pgtype.BoolOID:
		return 1
	default:
		return -1
	}
}

// formatOf returns the format of value i. No formats: all values are text; one
// format: it applies to all values.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return formatText
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return formatText
	}
}

func encodeRow(columns []column, formats []int16, row []any) (*pgproto3.DataRow, error) {
	message := &pgproto3.DataRow{Values: make([][]byte, len(row))}
	for i, value := range row {
		encoded, err := encodeValue(value, columns[i].oid, formatOf(formats, i))
		if err != nil {
			return nil, err
		}
		message.Values[i] = encoded
	}
	return message, nil
}

func encodeValue(value any, oid uint32, format int16) ([]byte, error) {
	if value == nil {
		return nil, nil
	}
	if format == formatText {
		return encodeText(value, oid), nil
	}
	switch oid {
	case pgtype.Int8OID:
		n, err := strconv.ParseInt(string(encodeText(value, oid)), 10, 64)
		if err != nil {
			return nil, newSQLError(stateBadParameter, fmt.Sprintf("value %v is not a whole number", value))
		}
		return binary.BigEndian.AppendUint64(nil, uint64(n)), nil
	case pgtype.Float8OID:
		f, err := strconv.ParseFloat(string(encodeText(value, oid)), 64)
		if err != nil {
			return nil, newSQLError(stateBadParameter, fmt.Sprintf("value %v is not a number", value))
		}
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), nil
	case pgtype.BoolOID:
		if string(encodeText(value, oid)) == "t" {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	case pgtype.ByteaOID:
		if raw, ok := value.([]byte); ok {
			return raw, nil
		}
	}
	return encodeText(value, pgtype.TextOID), nil
}

func encodeText(value any, oid uint32) []byte {
	switch v := value.(type) {
	case int64:
		if oid == pgtype.BoolOID {
			return boolText(v != 0)
		}
		return strconv.AppendInt(nil, v, 10)
	case float64:
		return strconv.AppendFloat(nil, v, 'g', -1, 64)
	case bool:
		return boolText(v)
	case []byte:
		if oid == pgtype.ByteaOID {
			return fmt.Appendf(nil, `\x%x`, v)
		}
		return v
	case string:
		return []byte(v)
	case time.Time:
		return v.AppendFormat(nil, timeLayout)
	default:
		return fmt.Append(nil, v)
	}
}

func boolText(b bool) []byte {
	if b {
		return []byte("t")
	}
	return []byte("f")
}

// decodeParameters decodes the parameters of a Bind message.
func decodeParameters(bind *pgproto3.Bind, oids []uint32) ([]commitlog.Value, error) {
	values := make([]commitlog.Value, len(bind.Parameters))
	for i, raw := range bind.Parameters {
		var oid uint32
		if i < len(oids) {
			oid = oids[i]
		}
		if raw == nil {
			continue
		}
		value, err := decodeParameter(raw, oid, formatOf(bind.ParameterFormatCodes, i))
		if err != nil {
			return nil, err
		}
		values[i] = value
	}
	return values, nil
}

func decodeParameter(raw []byte, oid uint32, format int16) (commitlog.Value, error) {
	if format == formatBinary {
		return decodeBinary(raw, oid)
	}
	text := string(raw)
	switch oid {
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return commitlog.Value{}, newSQLError(stateBadParameter, "invalid input syntax for type bigint: "+strconv.Quote(text))
		}
		return commitlog.Value{Int: &n}, nil
	case pgtype.Float4OID, pgtype.Float8OID:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return commitlog.Value{}, newSQLError(stateBadParameter, "invalid input syntax for type double precision: "+strconv.Quote(text))
		}
		return commitlog.Value{Real: &f}, nil
	case 0:
		if canonicalInt.MatchString(text) {
			n, err := strconv.ParseInt(text, 10, 64)
			if err == nil {
				return commitlog.Value{Int: &n}, nil
			}
		}
	}
	return commitlog.Value{Text: &text}, nil
}

func decodeBinary(raw []byte, oid uint32) (commitlog.Value, error) {
	var n int64
	switch {
	case oid == pgtype.Int2OID && len(raw) == 2:
		n = int64(int16(binary.BigEndian.Uint16(raw)))
	case oid == pgtype.Int4OID && len(raw) == 4:
		n = int64(int32(binary.BigEndian.Uint32(raw)))
	case oid == pgtype.Int8OID && len(raw) == 8:
		n = int64(binary.BigEndian.Uint64(raw))
	case oid == pgtype.BoolOID && len(raw) == 1:
		n = int64(raw[0])
	case oid == pgtype.Float8OID && len(raw) == 8:
		f := math.Float64frombits(binary.BigEndian.Uint64(raw))
		return commitlog.Value{Real: &f}, nil
	case oid == pgtype.ByteaOID:
		return commitlog.Value{Blob: append([]byte{}, raw...)}, nil
	case oid == 0 || oid == pgtype.TextOID || oid == pgtype.VarcharOID || oid == pgtype.UnknownOID:
		text := string(raw)
		return commitlog.Value{Text: &text}, nil
	default:
		return commitlog.Value{}, newSQLError(stateFeature, fmt.Sprintf("binary parameters of type %d are not supported", oid))
	}
	return commitlog.Value{Int: &n}, nil
}
