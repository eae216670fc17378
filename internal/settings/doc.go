// Package settings defines the settings of a daemon, which it reads at its start from
// flags and environment variables. A flag overrides its environment variable.
//
// Check reports all invalid settings at once, each with its name, its value and the
// accepted values.
package settings
