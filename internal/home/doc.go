// Package home runs units of work on the targets of database groups.
//
// A Home serves every database that it is asked for. For each database it keeps a runtime
// with the positions of the instances, connection pools, an admission queue in front of
// the slots of each target, and the confirmation of the targets' answers. The packages
// group, routing and admission make the decisions; this package carries them out.
//
// Several homes may serve one database. They share no state but the targets and the
// platform's store; each keeps to its share of every target's connections and slots.
package home
