package site

import "time"

// AddTenants adds tenants without limits to a configuration object, with the keys of each.
func AddTenants(configuration map[string]any, keys map[string][]string) {
	tenants := []any{}
	for name, k := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": append([]string{}, k...), "priority": 1})
	}
	configuration["tenants"] = tenants
}

// SetStrictRevocation adds strict revocation within a time to the bounds of settings.
func SetStrictRevocation(bounds map[string]any, within time.Duration) {
	bounds["revoke_strict"], bounds["revoke_ms"] = true, within.Milliseconds()
}
