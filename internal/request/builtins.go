package request

// pureBuiltins are the functions that write nothing, take no locks and read no
// connection state. A statement that calls any other function is not classified as
// Read.
var pureBuiltins = setOf(
	"abs", "age", "array_agg", "array_length", "array_to_string", "avg", "bit_length", "bool_and", "bool_or",
	"btrim", "cardinality", "ceil", "ceiling", "char_length", "concat", "concat_ws", "convert_from", "count",
	"cume_dist", "current_database", "date_bin", "date_part", "date_trunc", "degrees", "dense_rank", "encode",
	"decode", "every", "exp", "extract", "first_value", "floor", "format", "generate_series", "generate_subscripts",
	"initcap", "json_agg", "json_array_elements", "json_build_array", "json_build_object", "json_each",
	"json_object_agg", "jsonb_agg", "jsonb_array_elements", "jsonb_array_elements_text", "jsonb_build_array",
	"jsonb_build_object", "jsonb_each", "jsonb_extract_path", "jsonb_extract_path_text", "jsonb_object_agg",
	"jsonb_path_query", "jsonb_pretty", "jsonb_typeof", "justify_hours", "lag", "last_value", "lead", "left",
	"length", "ln", "log", "lower", "lpad", "ltrim", "make_date", "make_interval", "make_timestamp", "max", "md5",
	"min", "mod", "nth_value", "ntile", "num_nonnulls", "octet_length", "percent_rank", "percentile_cont",
	"percentile_disc", "position", "power", "radians", "rank", "regexp_match", "regexp_matches", "regexp_replace",
	"repeat", "replace", "reverse", "right", "round", "row_number", "row_to_json", "rpad", "rtrim", "sign",
	"split_part", "sqrt", "stddev", "string_agg", "string_to_array", "strpos", "substr", "substring", "sum",
	"to_char", "to_date", "to_json", "to_jsonb", "to_number", "to_timestamp", "translate", "trim", "trunc",
	"unnest", "upper", "variance", "version", "width_bucket", "now", "random", "pg_typeof", "clock_timestamp",
	"statement_timestamp", "transaction_timestamp",
)

// callLikeKeywords are keywords that may precede "(" without forming a function call.
var callLikeKeywords = setOf(
	"all", "and", "any", "array", "as", "between", "by", "case", "cast", "char", "coalesce", "cross", "cube",
	"date", "decimal", "distinct", "else", "except", "exists", "filter", "from", "greatest", "group", "grouping",
	"having", "in", "inner", "intersect", "interval", "is", "join", "lateral", "least", "like", "limit",
	"materialized", "not", "nullif", "numeric", "offset", "on", "or", "order", "over", "partition", "rollup",
	"row", "rows", "select", "sets", "some", "then", "time", "timestamp", "timestamptz", "union", "using", "values",
	"varchar", "when", "where", "with", "within",
)

func setOf(words ...string) map[string]bool {
	set := make(map[string]bool, len(words))
	for _, w := range words {
		set[w] = true
	}
	return set
}
