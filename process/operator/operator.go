// Package operator implements the operators' query and command language.
//
// A query shows one relation, such as streams or endpoints, as a table. Some
// relations are the same on every entry, so the entry that receives the query
// answers it alone. The others differ between entries: the query is sent to all
// entries, each filters its own rows, and the answers are merged. The result
// names the entries that did not answer; it is then incomplete but not wrong.
//
// A command changes the desired state. Most commands are edits of the
// configuration document. An edit applies to the version that the operator
// saw; if another operator's change was written first, nothing is written and
// the answer contains who made that change and what it changed. A command
// returns when it is in force everywhere. If its wait ends first, it returns a
// Pending with the entries and endpoints that lack the change; the change stays
// and is never reverted.
//
// Parse turns text into a typed Statement, Catalogue.Check compares its names
// with the existing objects, and Executor runs it. The package uses no sockets;
// all effects go through function fields, so another program can embed it.
package operator
