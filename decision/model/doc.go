// Package model defines the identifiers, enumerations and records that the
// other packages of the decision module share. It holds plain data: no state
// and no decision logic.
package model
