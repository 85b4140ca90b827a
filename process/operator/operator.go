// Package operator is the operators' query and command language.
//
// A query shows one relation, such as streams or endpoints, as a table. Some
// relations are the same on every entry and are answered by the entry asked;
// the others differ from entry to entry, so the query is sent to all entries,
// each filters its own rows, and the answers are merged. Entries that did not
// answer are named in the result, which is then incomplete but not wrong.
//
// A command changes the desired state. Most commands are edits of the
// configuration document: the edit applies to the version that the operator
// saw, and if another operator's change came first nothing is written and the
// answer says who made it and what changed. A command answers when it is in
// force everywhere. When its wait runs out it answers Pending with the names
// of those that lack it; the change stays and is never reverted.
//
// Parse turns text into a typed Statement, Catalogue.Check compares its names
// with what exists, and Desk runs it. The package uses no sockets; all effects
// go through function fields, so another program can embed it.
package operator
