package site

import "github.com/laburnumrack/laburnumrack/internal/store"

// SetCapacity adds limits to settings that give a VM the capacity c.
func SetCapacity(settings map[string]any, c store.Capacity) {
	const cores = 2
	settings["limits"] = map[string]any{"cpu_share": c.Processor / cores, "cores": cores, "memory_mb": 512, "link_mbps": c.Link}
}
