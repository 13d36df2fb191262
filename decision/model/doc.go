// Package model holds the identifiers, enumerations and records that every
// other package of the decision module shares. It is plain data: it has no
// state and takes no decision.
package model
