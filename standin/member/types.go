package member

import (
	"database/sql/driver"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Object identifiers (OIDs) of PostgreSQL types.
const (
	oidUnspecified uint32 = 0
	oidBool        uint32 = 16
	oidBytes       uint32 = 17
	oidInt8        uint32 = 20
	oidInt2        uint32 = 21
	oidInt4        uint32 = 23
	oidText        uint32 = 25
	oidFloat4      uint32 = 700
	oidFloat8      uint32 = 701
)

// Format codes of values in the wire protocol.
const (
	formatText   int16 = 0
	formatBinary int16 = 1
)

func fieldDescription(name string, oid uint32, format int16) pgproto3.FieldDescription {
	size := int16(-1)
	switch oid {
	case oidBool:
		size = 1
	case oidInt8, oidFloat8:
		size = 8
	}
	return pgproto3.FieldDescription{
		Name: []byte(name), DataTypeOID: oid, DataTypeSize: size, TypeModifier: -1, Format: format,
	}
}

// oidOfDeclared maps a declared SQLite column type to a PostgreSQL type, much like
// SQLite's type affinity rules. It returns oidUnspecified for an expression, which has
// no declared type.
func oidOfDeclared(declared string) uint32 {
	d := strings.ToUpper(declared)
	switch {
	case d == "":
		return oidUnspecified
	case strings.Contains(d, "BOOL"):
		return oidBool
	case strings.Contains(d, "INT") || strings.Contains(d, "SERIAL"):
		return oidInt8
	case strings.Contains(d, "CHAR") || strings.Contains(d, "CLOB") || strings.Contains(d, "TEXT"):
		return oidText
	case strings.Contains(d, "BLOB") || strings.Contains(d, "BYTEA"):
		return oidBytes
	case strings.Contains(d, "REAL") || strings.Contains(d, "FLOA") || strings.Contains(d, "DOUB"):
		return oidFloat8
	}
	return oidText
}

// oidOfExpression infers the type of an expression from its column name, which SQLite
// derives from the expression's text. It returns oidUnspecified if it cannot.
func oidOfExpression(name string) uint32 {
	lower := strings.ToLower(name)
	for _, prefix := range []string{"count(", "length(", "changes(", "total_changes(", "last_insert_rowid(", "sleep_ms("} {
		if strings.HasPrefix(lower, prefix) {
			return oidInt8
		}
	}
	if _, err := strconv.ParseInt(name, 10, 64); err == nil {
		return oidInt8
	}
	if strings.HasPrefix(name, "'") {
		return oidText
	}
	return oidUnspecified
}

func oidOfValue(v driver.Value) uint32 {
	switch v.(type) {
	case int64:
		return oidInt8
	case float64:
		return oidFloat8
	case []byte:
		return oidBytes
	}
	return oidText
}

// encodeValue encodes a value as the given type in the given format. The result is nil
// for NULL.
func encodeValue(v driver.Value, oid uint32, format int16) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if format == formatBinary {
		return encodeBinary(v, oid)
	}
	if oid == oidBool {
		if asBool(v) {
			return []byte("t"), nil
		}
		return []byte("f"), nil
	}
	if b, ok := v.([]byte); ok && oid == oidBytes {
		return []byte(`\x` + hex.EncodeToString(b)), nil
	}
	return []byte(asText(v)), nil
}

func encodeBinary(v driver.Value, oid uint32) ([]byte, error) {
	switch oid {
	case oidBool:
		if asBool(v) {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	case oidInt8:
		n, err := strconv.ParseInt(asText(v), 10, 64)
		if err != nil {
			return nil, newError(codeInvalidText, "value %q is not an integer", asText(v))
		}
		return binary.BigEndian.AppendUint64(nil, uint64(n)), nil
	case oidFloat8:
		f, err := strconv.ParseFloat(asText(v), 64)
		if err != nil {
			return nil, newError(codeInvalidText, "value %q is not a number", asText(v))
		}
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), nil
	}
	return []byte(asText(v)), nil
}

func asBool(v driver.Value) bool {
	switch strings.ToLower(asText(v)) {
	case "0", "f", "false", "no", "off", "":
		return false
	}
	return true
}

func asText(v driver.Value) string {
	switch v := v.(type) {
	case int64:
		return strconv.FormatInt(v, 10)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case []byte:
		return string(v)
	case string:
		return v
	case bool:
		return strconv.FormatBool(v)
	case time.Time:
		return v.UTC().Format("2006-01-02 15:04:05.999999")
	}
	return ""
}

// decodeParameter decodes a parameter value of a Bind message. A nil value is NULL.
func decodeParameter(data []byte, oid uint32, format int16) (driver.Value, error) {
	if data == nil {
		return nil, nil
	}
	if format == formatBinary {
		return decodeBinary(data, oid)
	}
	text := string(data)
	var v driver.Value
	var err error
	switch oid {
	case oidBool:
		v = int64(0)
		if asBool(text) {
			v = int64(1)
		}
	case oidInt2, oidInt4, oidInt8:
		v, err = strconv.ParseInt(text, 10, 64)
	case oidFloat4, oidFloat8:
		v, err = strconv.ParseFloat(text, 64)
	case oidBytes:
		v, err = decodeBytes(text)
	case oidUnspecified:
		v = inferValue(text)
	default:
		v = text
	}
	if err != nil {
		return nil, newError(codeInvalidText, "invalid input syntax for type %d: %q", oid, text)
	}
	return v, nil
}

// inferValue returns the text of an untyped parameter as an integer if it is one in
// canonical form. SQLite converts it back without loss for a text column.
func inferValue(text string) driver.Value {
	n, err := strconv.ParseInt(text, 10, 64)
	if err == nil && strconv.FormatInt(n, 10) == text {
		return n
	}
	return text
}

func decodeBytes(text string) ([]byte, error) {
	if hexadecimal, ok := strings.CutPrefix(text, `\x`); ok {
		return hex.DecodeString(hexadecimal)
	}
	return []byte(text), nil
}

func decodeBinary(data []byte, oid uint32) (driver.Value, error) {
	switch {
	case oid == oidBool && len(data) == 1:
		return int64(data[0]), nil
	case oid == oidInt2 && len(data) == 2:
		return int64(int16(binary.BigEndian.Uint16(data))), nil
	case oid == oidInt4 && len(data) == 4:
		return int64(int32(binary.BigEndian.Uint32(data))), nil
	case oid == oidInt8 && len(data) == 8:
		return int64(binary.BigEndian.Uint64(data)), nil
	case oid == oidFloat4 && len(data) == 4:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(data))), nil
	case oid == oidFloat8 && len(data) == 8:
		return math.Float64frombits(binary.BigEndian.Uint64(data)), nil
	case oid == oidBytes:
		return append([]byte{}, data...), nil
	case oid == oidText || oid == oidUnspecified || oid == 1043:
		return string(data), nil
	}
	return nil, newError(codeProtocolViolation, "binary parameter of type %d and %d bytes is not supported", oid, len(data))
}
